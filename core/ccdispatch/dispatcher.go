// Package ccdispatch drives the jobs of one entry: it queues their tasks, sends
// each to one agent at a time, and puts the answers together.
//
// It is a state machine. Every method takes the time, changes the state and may
// add actions, which the caller collects with Actions and carries out. The
// caller calls from one goroutine.
//
// # At most once
//
// A task is in one of four states. It waits; or it is sent, which means that it
// may have started; or it is done; or it is lost. A sent task goes back to
// waiting only when the life of the agent that it was sent to says that it did
// not start. Silence, a broken connection or another life of that agent never
// does that.
//
// # Usage
//
//	d := ccdispatch.New(ccdispatch.Config{Entry: self, Seed: seed, Record: ring.Record})
//	d.SetSettings(now, effective)
//	d.AgentUp(now, session, helloReply)
//	if refusal, ok := d.Check(&spec); !ok {
//		return refusal
//	}
//	if refusal, ok := d.Admit(&spec); !ok { // Once the job is claimed.
//		return refusal
//	}
//	d.Submit(now, ccdispatch.Submission{Spec: spec, Claim: claim})
//	for _, action := range d.Actions(now) {
//		// Send it, or answer the client.
//	}
package ccdispatch

import (
	"math/rand/v2"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
)

// Config says whose jobs a Dispatcher drives.
type Config struct {
	Entry  ccnode.Ref
	Domain string // The entry's own failure domain.
	Seed   uint64
	// Record keeps an event and returns its number.
	Record func(now time.Time, event ccevent.Event) uint64
}

// Dispatcher drives the jobs of one entry.
type Dispatcher struct {
	cfg      Config
	random   *rand.Rand
	settings *ccsettings.Effective
	open     bool // Whether the entry may send tasks at all.
	agents   map[ccnode.ID]*agent
	guests   map[ccnode.ID]struct{}
	ordered  []*agent // By ID, so that the same input gives the same actions.
	services map[string]*service
	jobs     map[ccjob.ID]*job
	deadline deadlineHeap
	domainIn map[string]time.Time // When a domain last came back in.
	actions  []Action
	counts   Counts
}

// Counts are totals since the start, for metrics.
type Counts struct {
	JobsSubmitted   uint64 `json:"jobsSubmitted"`
	JobsComplete    uint64 `json:"jobsComplete"`
	JobsFailed      uint64 `json:"jobsFailed"`
	TasksSent       uint64 `json:"tasksSent"`
	TasksResent     uint64 `json:"tasksResent"`
	TasksReturned   uint64 `json:"tasksReturned"`
	TasksDone       uint64 `json:"tasksDone"`
	TasksLost       uint64 `json:"tasksLost"`
	Dispatches      uint64 `json:"dispatches"`
	EmptyDispatches uint64 `json:"emptyDispatches"`
	Reports         uint64 `json:"reports"`
	Revokes         uint64 `json:"revokes"`
	TargetsEjected  uint64 `json:"targetsEjected"`
	ProbesSent      uint64 `json:"probesSent"`
	StaleReports    uint64 `json:"staleReports"`
	DeadlineMisses  uint64 `json:"deadlineMisses"`
}

// New returns a dispatcher that knows no settings and no agents.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Entry.Incarnation))),
		settings: &ccsettings.Effective{},
		open:     true,
		agents:   make(map[ccnode.ID]*agent),
		guests:   make(map[ccnode.ID]struct{}),
		services: make(map[string]*service),
		jobs:     make(map[ccjob.ID]*job),
		domainIn: make(map[string]time.Time),
	}
}

// Counts returns the totals.
func (d *Dispatcher) Counts() Counts { return d.counts }

// SetSendAllowed says whether the entry may send tasks. It may not while it is cut off
// from the store and its peers see it.
func (d *Dispatcher) SetSendAllowed(open bool) { d.open = open }

// MarkMayHaveRun notes that another entry may have taken over the jobs that are driven
// here, so that none of them can be said not to have run.
func (d *Dispatcher) MarkMayHaveRun() {
	for _, j := range d.jobs {
		j.started = true
	}
}

// SetSettings puts a newer version into force. An older one is ignored.
func (d *Dispatcher) SetSettings(now time.Time, settings *ccsettings.Effective) {
	if settings.Version < d.settings.Version {
		return
	}
	for name, domain := range settings.Domains {
		if before, known := d.settings.Domains[name]; known && before.Out && !domain.Out {
			d.domainIn[name] = now
		}
	}
	d.settings = settings
	for name, guards := range settings.Services {
		d.service(name).configure(guards, d.cfg.Seed)
	}
	for _, a := range d.agents {
		a.health.Configure(d.healthConfig(a.service))
	}
}

// Actions sends what can be sent and returns what the caller has to do since the
// last call. Call it after one or more other methods; several calls between
// make for larger messages.
func (d *Dispatcher) Actions(now time.Time) []Action {
	d.flush(now)
	actions := d.actions
	d.actions = nil
	return actions
}

// Tick lets time pass: deadlines, returns from ejection, silent agents.
func (d *Dispatcher) Tick(now time.Time) {
	d.expire(now)
	d.probeSilent(now)
	d.noteReadmitted(now)
	for _, s := range d.services {
		s.rate.tick(now)
	}
}

func (d *Dispatcher) record(now time.Time, event ccevent.Event) {
	if d.cfg.Record != nil {
		d.cfg.Record(now, event)
	}
}

func (d *Dispatcher) act(action Action) { d.actions = append(d.actions, action) }
