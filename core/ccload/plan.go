package ccload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the arrival process: how arrivals are distributed over time.
type Shape string

const (
	// ShapePoisson draws independent arrival times, as a Poisson process does.
	ShapePoisson Shape = "poisson"
	// ShapeConstant spaces arrivals evenly.
	ShapeConstant Shape = "constant"
)

// Burst multiplies the arrival rate by Factor for Duration, beginning at At.
type Burst struct {
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// Flood adds jobs of one team on top of the planned load.
type Flood struct {
	Team string
	Load float64 // Share of the fleet's capacity. Zero adds no jobs.
}

// CancelWave cancels, at one time, a share of the jobs that were submitted within
// cancelWindow before it.
type CancelWave struct {
	At    time.Duration
	Share float64
}

// PlanConfig configures a plan.
type PlanConfig struct {
	Profile  Profile
	Load     float64 // Offered load, as a share of the fleet's capacity.
	Duration time.Duration
	Seed     uint64
	Shape    Shape // Defaults to ShapePoisson.
	// Deadline is the part of each deadline that does not depend on the job.
	// deadlineFactor times the declared run time is added to it. Defaults to 10 s.
	Deadline    time.Duration
	Bursts      []Burst
	Flood       Flood
	CancelWaves []CancelWave
	// LeaveShare is the share of clients that plan to close their connection early.
	LeaveShare float64
}

// Plan is a list of arrivals, sorted by time.
type Plan struct {
	Arrivals []Arrival
	Duration time.Duration
}

const (
	defaultDeadline   = 10 * time.Second
	deadlineFactor    = 4 // Multiple of the declared run time on the whole fleet that a deadline allows for.
	misdeclaredFactor = 10.0
	maxDeadline       = 2 * time.Minute
	cancelWindow      = 2 * time.Second
	maxResubmitDelay  = time.Second
	maxLeaveDelay     = 500 * time.Millisecond
)

// NewPlan returns a random plan. The work of all jobs adds up to the configured
// load, so two seeds differ in when the work arrives and how it is divided into
// jobs, but not in its amount. The error is an *Error of KindConfig.
func NewPlan(cfg PlanConfig) (*Plan, error) {
	if cfg.Load <= 0 || cfg.Duration <= 0 || len(cfg.Profile.Targets) == 0 || cfg.Profile.Teams < 1 {
		return nil, newError("plan", KindConfig, "load, duration, targets and teams must be above zero")
	}
	for _, burst := range cfg.Bursts {
		if burst.Factor <= 0 || burst.At < 0 || burst.Duration <= 0 || burst.At+burst.Duration > cfg.Duration {
			return nil, newError("plan", KindConfig, fmt.Sprintf("the burst at %s must lie within the run and have a factor and a duration above zero", burst.At))
		}
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	capacity := NominalCapacity(cfg.Profile.Targets)
	rate := newRateCurve(cfg.Duration, cfg.Bursts)
	work := time.Duration(cfg.Load * capacity * float64(rate.total))
	plan := &Plan{Duration: cfg.Duration, Arrivals: drawJobs(cfg, random, work)}
	assignTimes(plan.Arrivals, cfg.Shape, rate, random)
	if cfg.Flood.Load > 0 {
		flood := drawJobs(cfg, random, time.Duration(cfg.Flood.Load*capacity*float64(cfg.Duration)))
		for i := range flood {
			flood[i].Team = cfg.Flood.Team
		}
		assignTimes(flood, cfg.Shape, newRateCurve(cfg.Duration, nil), random)
		plan.Arrivals = append(plan.Arrivals, flood...)
	}
	slices.SortStableFunc(plan.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	markCanceled(plan.Arrivals, cfg.CancelWaves, random)
	for number := range plan.Arrivals {
		plan.Arrivals[number].Number = number
	}
	return plan, nil
}

// Work returns the total nominal run time of all jobs.
func (p *Plan) Work() time.Duration {
	var work time.Duration
	for i := range p.Arrivals {
		work += p.Arrivals[i].Work()
	}
	return work
}

// Tasks returns the total number of tasks of all jobs.
func (p *Plan) Tasks() int {
	tasks := 0
	for i := range p.Arrivals {
		tasks += len(p.Arrivals[i].Tasks)
	}
	return tasks
}

// drawJobs draws jobs, without arrival times, until the work is used up. The last
// job gets no more tasks once the work is used up.
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
		job.Declared = scale(job.Declared, misdeclaredFactor, random.IntN(2) == 0)
	}
	share := time.Duration(float64(job.Declared) / NominalCapacity(profile.Targets) * deadlineFactor)
	job.Deadline = min(cfg.Deadline+share, maxDeadline).Truncate(time.Millisecond)
	if random.Float64() < profile.ResubmitShare {
		job.ResubmitAfter = drawDelay(random, maxResubmitDelay)
	}
	if random.Float64() < cfg.LeaveShare {
		job.LeaveAfter = drawDelay(random, maxLeaveDelay)
	}
	return job
}

func scale(value time.Duration, factor float64, up bool) time.Duration {
	if up {
		return time.Duration(float64(value) * factor)
	}
	return time.Duration(float64(value) / factor)
}

// drawDelay returns a random delay of at least 1 ms and less than 1 ms above
// maxDelay. It is never zero, because zero disables a delay of an arrival.
func drawDelay(random *rand.Rand, maxDelay time.Duration) time.Duration {
	return time.Millisecond + time.Duration(random.Float64()*float64(maxDelay))
}

// assignTimes sets the arrival times of the jobs. Given their number, the arrival
// times of a Poisson process are independent and uniformly distributed.
func assignTimes(jobs []Arrival, shape Shape, rate *rateCurve, random *rand.Rand) {
	for i := range jobs {
		share := random.Float64()
		if shape == ShapeConstant {
			share = float64(i) / float64(len(jobs))
		}
		jobs[i].At = rate.timeAt(share)
	}
}

// markCanceled sets CancelAfter of the arrivals that a wave cancels.
func markCanceled(arrivals []Arrival, waves []CancelWave, random *rand.Rand) {
	for _, wave := range waves {
		for i := range arrivals {
			age := wave.At - arrivals[i].At
			if age > 0 && age < cancelWindow && random.Float64() < wave.Share {
				arrivals[i].CancelAfter = age
			}
		}
	}
}
