package ccdispatch

import (
	"time"

	"camphorcroft/core/ccplacement"
	"camphorcroft/core/ccqueue"
	"camphorcroft/core/ccsettings"
)

// service is the dispatcher's state for one service.
type service struct {
	settings ccsettings.Service
	queue    *ccqueue.Queue
	policy   ccplacement.Policy
	// teamTasks is the number of tasks in jobs that have not been removed, by
	// team.
	teamTasks       map[string]int
	completionRate  completionRate
	retryBudget     float64 // Resends that are allowed now.
	candidateAgents []*agent
	candidates      []ccplacement.Candidate
}

const (
	// maxRetryBudget bounds the unused resends that accumulate.
	maxRetryBudget = 2000
	// initialRetryBudget allows a service without recent traffic to resend
	// immediately.
	initialRetryBudget = 200
)

// service returns the state of a service, which it creates if the service is
// new.
func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{
			settings:    ccsettings.DefaultService(),
			queue:       ccqueue.New(),
			policy:      ccplacement.New("", d.cfg.Seed),
			teamTasks:   make(map[string]int),
			retryBudget: initialRetryBudget,
		}
		d.services[name] = s
	}
	return s
}

// configure applies new settings. The placement policy keeps its state unless
// another one is chosen.
func (s *service) configure(settings ccsettings.Service, seed uint64) {
	if settings.Policy != s.settings.Policy {
		s.policy = ccplacement.New(settings.Policy, seed)
	}
	s.settings = settings
}

func (s *service) addJob(j *job) { s.teamTasks[j.spec.Team] += len(j.tasks) }

func (s *service) removeJob(j *job) {
	s.teamTasks[j.spec.Team] -= len(j.tasks)
	if s.teamTasks[j.spec.Team] <= 0 {
		delete(s.teamTasks, j.spec.Team)
	}
}

// completionRate estimates how many tasks complete per second while others are
// waiting.
type completionRate struct {
	perSecond   float64
	completed   int
	sampleStart time.Time
	backlogged  bool // The queue has not been empty since sampleStart.
}

// rateSampleInterval is the minimum duration of one sample of the completion
// rate.
const rateSampleInterval = 250 * time.Millisecond

// update takes a sample at the end of an interval. Intervals in which the queue
// was empty are skipped, since they do not show what the targets can do.
func (r *completionRate) update(now time.Time) {
	elapsed := now.Sub(r.sampleStart)
	if elapsed < rateSampleInterval {
		return
	}
	if r.backlogged && !r.sampleStart.IsZero() {
		sample := float64(r.completed) / elapsed.Seconds()
		if r.perSecond == 0 {
			r.perSecond = sample
		}
		r.perSecond += 0.3 * (sample - r.perSecond)
	}
	r.completed, r.sampleStart, r.backlogged = 0, now, true
}

// estimateWait returns the expected wait of the n-th task in the queue, or zero
// if the rate is unknown.
func (r *completionRate) estimateWait(n int) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second))
}
