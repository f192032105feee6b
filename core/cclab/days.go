package cclab

import "time"

// DayDuration is the duration of the load of the overload days.
const DayDuration = 30 * time.Second

// overloadFleet is the fleet of the overload days: docs/design/README.md, "The load to serve".
// Without bursts it is busy to 0.7.
func overloadFleet(seed uint64) Config {
	cfg := Config{
		Seed: seed, Domains: 3, Agents: 76, WorkerCPU: 32000, Speeds: []float64{0.7, 0.7, 0.9, 1.7, 1}, Racks: 12, AwayFactor: 2,
		Classes: []Class{
			{Name: "short", PerSecond: 206, Tasks: 8, MaxTasks: 32, Work: 60 * time.Millisecond, CPU: 3600, Priority: 0},
			{Name: "medium", PerSecond: 600, Tasks: 2, MaxTasks: 8, Work: 200 * time.Millisecond, CPU: 3600, Priority: 1},
			{Name: "long", PerSecond: 37.5, Tasks: 4, MaxTasks: 16, Work: 900 * time.Millisecond, CPU: 3600, Priority: 2},
		},
		Traffic: []float64{244, 330, 270}, Callers: []int{12, 16, 13}, Wave: Wave{Amplitude: 0.3, Period: 7 * time.Second},
		Duration: DayDuration,
	}
	shares := []float64{0.4, 0.144, 0.8, 0.3}
	for domain, entries := range []int{5, 4, 5} {
		for range entries {
			cfg.Entries = append(cfg.Entries, EntryConfig{Domain: domain, Share: shares[len(cfg.Entries)%len(shares)]})
		}
	}
	return cfg
}

// CompetingCallers is the load of deploy/days/competing-callers.toml.
func CompetingCallers(seed uint64) Config {
	cfg := overloadFleet(seed)
	cfg.Bursts = []Burst{
		{At: 3 * time.Second, For: 6 * time.Second, Factor: 2.3},
		{At: 13 * time.Second, For: 5 * time.Second, Factor: 5, Class: "long"},
		{At: 22 * time.Second, For: 6 * time.Second, Factor: 2.5, Class: "short"},
	}
	cfg.HotRacks = []HotRack{{At: 22 * time.Second, For: 6 * time.Second, Class: "short", Share: 0.6}}
	return cfg
}

// UnevenDomains is the load of deploy/days/uneven-domains.toml. The callers move from the
// domain with the least traffic to that with the most.
func UnevenDomains(seed uint64) Config {
	cfg := overloadFleet(seed)
	cfg.Shifts = []Shift{{At: 3 * time.Second, For: 9 * time.Second, From: 0, To: 1, Share: 0.7}}
	cfg.Bursts = []Burst{
		{At: 3500 * time.Millisecond, For: 7 * time.Second, Factor: 1.8},
		{At: 17500 * time.Millisecond, For: 6 * time.Second, Factor: 3, Class: "long"},
	}
	cfg.Losses = []Loss{{At: 17 * time.Second, For: 6 * time.Second, Share: 0.25}}
	return cfg
}

// OrdinaryDay is the fleet of the overload days without bursts and losses.
func OrdinaryDay(seed uint64) Config { return overloadFleet(seed) }
