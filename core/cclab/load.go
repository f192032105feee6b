package cclab

import (
	"math"
	"time"
)

// Wave makes the rate of all classes rise and fall, with a phase of its own in each domain.
type Wave struct {
	// Amplitude is the greatest deviation as a share of the mean rate. Zero is no wave.
	Amplitude float64
	Period    time.Duration
}

// factor returns the multiple of the mean rate in a domain.
func (w Wave) factor(elapsed time.Duration, domain, domains int) float64 {
	if w.Amplitude == 0 || w.Period == 0 {
		return 1
	}
	phase := elapsed.Seconds()/w.Period.Seconds() + float64(domain)/float64(domains)
	return 1 + w.Amplitude*math.Sin(2*math.Pi*phase)
}

// Shift moves a share of the callers of one domain to the entries of another for a time. It
// needs Config.Callers.
type Shift struct {
	At, For  time.Duration
	From, To int
	Share    float64
}

// HotRack makes a share of the jobs of a class request the first rack for a time.
type HotRack struct {
	At, For time.Duration
	Class   string
	Share   float64
}

// Loss takes a share of the workers away for a time, spread evenly over the fleet. Their runs
// are lost.
type Loss struct {
	At, For time.Duration
	Share   float64
}

// lost reports whether the loss takes the worker of the agent with this number.
func (l Loss) lost(agent int) bool {
	return math.Floor(float64(agent+1)*l.Share) > math.Floor(float64(agent)*l.Share)
}

// rackName returns the rack of the agent with this number. Empty is none.
func (c *Config) rackName(agent int) string {
	if c.Racks == 0 {
		return ""
	}
	return rackLabel(agent % c.Racks)
}

// traffic returns the share of a domain in the rate of each class.
func (c *Config) traffic(domain int) float64 {
	if len(c.Traffic) == 0 {
		return 1 / float64(c.Domains)
	}
	sum := 0.0
	for _, t := range c.Traffic {
		sum += t
	}
	return c.Traffic[domain] / sum
}

// rate returns the rate at which jobs of a class come from a domain.
func (c *Config) rate(elapsed time.Duration, domain int, class Class) float64 {
	rate := class.PerSecond / float64(c.Domains)
	if len(c.Traffic) > 0 {
		rate = class.PerSecond * c.traffic(domain)
	}
	for _, b := range c.Bursts {
		if (b.Class == "" || b.Class == class.Name) && elapsed >= b.At && elapsed < b.At+b.For {
			rate *= b.Factor
		}
	}
	if c.Wave.Amplitude > 0 {
		rate *= c.Wave.factor(elapsed, domain, c.Domains)
	}
	return rate
}

// speed and capacity return those of the worker of the agent with this number.
func (c *Config) speed(agent int) float64 {
	if len(c.Speeds) == 0 {
		return 1
	}
	return c.Speeds[agent%len(c.Speeds)]
}

func (c *Config) capacity(agent int) int64 {
	if len(c.Sizes) == 0 {
		return c.WorkerCPU
	}
	return int64(float64(c.WorkerCPU) * c.Sizes[agent%len(c.Sizes)])
}

// awayFactor returns how many times longer a task with data in a rack takes on a worker.
func (c *Config) awayFactor(rack, workerRack string) float64 {
	if rack == "" || rack == workerRack || c.AwayFactor <= 1 {
		return 1
	}
	return c.AwayFactor
}

// leastNeed returns the least CPU that a task of any class needs.
func (c *Config) leastNeed() int64 {
	least := c.Classes[0].CPU
	for _, class := range c.Classes {
		least = min(least, class.CPU)
	}
	return int64(float64(least) * (1 - needSpread))
}
