package ccdispatch

import (
	"time"

	"camphorcroft/core/ccplacement"
	"camphorcroft/core/ccqueue"
	"camphorcroft/core/ccsettings"
)

// service is what the entry keeps for one service.
type service struct {
	guards ccsettings.Service
	queue  *ccqueue.Queue
	policy ccplacement.Policy
	// teamTasks counts the tasks of jobs that have not ended, by team.
	teamTasks map[string]int
	rate      rate
	budget    float64 // Sends beyond the first that may be made now.
	ranked    []*agent
	view      []ccplacement.Candidate
}

const (
	// maxBudget bounds how many resends can be saved up.
	maxBudget = 2000
	// startBudget lets a quiet service resend at once.
	startBudget = 200
)

func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{
			guards:    ccsettings.DefaultService(),
			queue:     ccqueue.New(),
			policy:    ccplacement.New("", d.cfg.Seed),
			teamTasks: make(map[string]int),
			budget:    startBudget,
		}
		d.services[name] = s
	}
	return s
}

func (s *service) configure(guards ccsettings.Service, seed uint64) {
	if guards.Policy != s.guards.Policy {
		s.policy = ccplacement.New(guards.Policy, seed)
	}
	s.guards = guards
}

func (s *service) admit(j *job) { s.teamTasks[j.spec.Team] += len(j.tasks) }

func (s *service) release(j *job) {
	s.teamTasks[j.spec.Team] -= len(j.tasks)
	if s.teamTasks[j.spec.Team] <= 0 {
		delete(s.teamTasks, j.spec.Team)
	}
}

// rate learns how many tasks a second end while others wait.
type rate struct {
	perSecond float64
	ended     int
	since     time.Time
	busy      bool // The queue was never empty since.
}

// rateInterval is over how long one sample of the rate is taken.
const rateInterval = 250 * time.Millisecond

// tick takes a sample. Only intervals with a queue say what the targets can do.
func (r *rate) tick(now time.Time) {
	elapsed := now.Sub(r.since)
	if elapsed < rateInterval {
		return
	}
	if r.busy && !r.since.IsZero() {
		sample := float64(r.ended) / elapsed.Seconds()
		if r.perSecond == 0 {
			r.perSecond = sample
		}
		r.perSecond += 0.3 * (sample - r.perSecond)
	}
	r.ended, r.since, r.busy = 0, now, true
}

// wait returns how long the n-th task in the queue waits, or zero when unknown.
func (r *rate) wait(n int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second))
}
