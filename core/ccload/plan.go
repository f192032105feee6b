package ccload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape says how arrivals spread over time.
type Shape string

const (
	// ShapePoisson draws independent arrival times.
	ShapePoisson Shape = "poisson"
	// ShapeConstant spaces arrivals evenly.
	ShapeConstant Shape = "constant"
)

// Burst multiplies the rate of arrivals for a time.
type Burst struct {
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// Flood adds the jobs of one team on top of the plan.
type Flood struct {
	Team string
	Load float64 // Share of the fleet's power. Zero adds none.
}

// CancelWave cancels a share of the jobs that were submitted shortly before.
type CancelWave struct {
	At    time.Duration
	Share float64
}

// PlanConfig says what to plan.
type PlanConfig struct {
	Profile  Profile
	Load     float64 // Share of the fleet's power that the arrivals ask for.
	Duration time.Duration
	Seed     uint64
	Shape    Shape // Empty is ShapePoisson.
	// Deadline is what a client asks for beyond a few times the declared run
	// time. Zero is 10 s.
	Deadline    time.Duration
	Bursts      []Burst
	Flood       Flood
	CancelWaves []CancelWave
	// LeaveShare is the share of clients that leave before their answer.
	LeaveShare float64
}

// Plan is a list of arrivals in the order of their times.
type Plan struct {
	Arrivals []Arrival
	Duration time.Duration
}

const (
	defaultDeadline = 10 * time.Second
	declaredSlack   = 4 // Deadlines allow for this much more than the declared run time.
	wrongFactor     = 10.0
	longestDeadline = 2 * time.Minute
	waveReach       = 2 * time.Second
	longestResubmit = time.Second
	longestStay     = 500 * time.Millisecond
)

// NewPlan makes a plan. The work of all jobs sums up to the load, so that two
// seeds differ in when and how the work comes, not in how much. The error is an
// *Error of KindConfig.
func NewPlan(cfg PlanConfig) (*Plan, error) {
	if cfg.Load <= 0 || cfg.Duration <= 0 || len(cfg.Profile.Targets) == 0 || cfg.Profile.Teams < 1 {
		return nil, newError("plan", KindConfig, "load, duration, targets and teams are above zero")
	}
	for _, burst := range cfg.Bursts {
		if burst.Factor <= 0 || burst.At < 0 || burst.Duration <= 0 || burst.At+burst.Duration > cfg.Duration {
			return nil, newError("plan", KindConfig, fmt.Sprintf("a burst at %s lies outside the run", burst.At))
		}
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	power := NominalCapacity(cfg.Profile.Targets)
	clock := newWarp(cfg.Duration, cfg.Bursts)
	work := time.Duration(cfg.Load * power * float64(clock.total))
	plan := &Plan{Duration: cfg.Duration, Arrivals: drawJobs(cfg, random, work)}
	placeJobs(plan.Arrivals, cfg.Shape, clock, random)
	if cfg.Flood.Load > 0 {
		flood := drawJobs(cfg, random, time.Duration(cfg.Flood.Load*power*float64(cfg.Duration)))
		for i := range flood {
			flood[i].Team = cfg.Flood.Team
		}
		placeJobs(flood, cfg.Shape, newWarp(cfg.Duration, nil), random)
		plan.Arrivals = append(plan.Arrivals, flood...)
	}
	slices.SortStableFunc(plan.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	cancelWaves(plan.Arrivals, cfg.CancelWaves, random)
	for number := range plan.Arrivals {
		plan.Arrivals[number].Number = number
	}
	return plan, nil
}

// Work is the nominal run time of all jobs.
func (p *Plan) Work() time.Duration {
	var work time.Duration
	for i := range p.Arrivals {
		work += p.Arrivals[i].Work()
	}
	return work
}

// Tasks is the number of tasks of all jobs.
func (p *Plan) Tasks() int {
	tasks := 0
	for i := range p.Arrivals {
		tasks += len(p.Arrivals[i].Tasks)
	}
	return tasks
}

// drawJobs draws jobs, without their times, until the work is used up. The last
// one is cut to fit.
func drawJobs(cfg PlanConfig, random *rand.Rand, work time.Duration) []Arrival {
	var jobs []Arrival
	for work > 0 {
		job := drawJob(cfg, random, work)
		work -= job.Work()
		jobs = append(jobs, job)
	}
	return jobs
}

func drawJob(cfg PlanConfig, random *rand.Rand, work time.Duration) Arrival {
	profile := cfg.Profile
	job := Arrival{
		Service: profile.Service,
		Team:    fmt.Sprintf("team-%d", random.IntN(profile.Teams)),
	}
	for range profile.Sizes.Draw(random) {
		if work <= 0 {
			break
		}
		run := profile.RunTimes.Draw(random)
		job.Tasks = append(job.Tasks, run)
		work -= run
	}
	job.Declared = job.Work()
	if random.Float64() < profile.MisdeclaredShare {
		job.Declared = scale(job.Declared, wrongFactor, random.IntN(2) == 0)
	}
	share := time.Duration(float64(job.Declared) / NominalCapacity(profile.Targets) * declaredSlack)
	job.Deadline = min(cfg.Deadline+share, longestDeadline).Truncate(time.Millisecond)
	if random.Float64() < profile.ResubmitShare {
		job.ResubmitAfter = drawUpTo(random, longestResubmit)
	}
	if random.Float64() < cfg.LeaveShare {
		job.LeaveAfter = drawUpTo(random, longestStay)
	}
	return job
}

func scale(value time.Duration, factor float64, up bool) time.Duration {
	if up {
		return time.Duration(float64(value) * factor)
	}
	return time.Duration(float64(value) / factor)
}

// drawUpTo returns a time above zero.
func drawUpTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Millisecond + time.Duration(random.Float64()*float64(most))
}

// placeJobs gives the jobs their times. The times of a Poisson process of known
// count are independent and evenly distributed.
func placeJobs(jobs []Arrival, shape Shape, clock *warp, random *rand.Rand) {
	for i := range jobs {
		share := random.Float64()
		if shape == ShapeConstant {
			share = float64(i) / float64(len(jobs))
		}
		jobs[i].At = clock.at(share)
	}
}

// cancelWaves marks the jobs that a wave cancels.
func cancelWaves(arrivals []Arrival, waves []CancelWave, random *rand.Rand) {
	for _, wave := range waves {
		for i := range arrivals {
			age := wave.At - arrivals[i].At
			if age > 0 && age < waveReach && random.Float64() < wave.Share {
				arrivals[i].CancelAfter = age
			}
		}
	}
}
