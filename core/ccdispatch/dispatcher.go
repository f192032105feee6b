// Package ccdispatch runs the jobs of one entry: it queues their tasks, sends
// each task to at most one agent at a time and assembles the answers.
//
// The Dispatcher is a state machine without I/O. Its methods are given the
// current time, change the state and may add actions, which the caller collects
// with Actions and executes. It is not safe for concurrent use.
//
// # At-most-once execution
//
// A task is waiting, sent, done or lost. A sent task may have started. It
// returns to waiting only if the agent incarnation that it was sent to reports
// that it did not start. Silence, a broken connection or a reply from another
// incarnation of that agent is not proof.
//
// # Usage
//
//	d := ccdispatch.New(ccdispatch.Config{Entry: self, Seed: seed, Record: ring.Record})
//	d.SetSettings(now, effective)
//	d.AgentUp(now, session, helloReply)
//	if refusal, ok := d.Check(&spec); !ok {
//		return refusal
//	}
//	if refusal, ok := d.Admit(&spec); !ok { // After the job has been claimed.
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

// Config configures a Dispatcher.
type Config struct {
	Entry  ccnode.Ref
	Domain string // The failure domain of the entry.
	Seed   uint64
	// Record stores an event and returns its sequence number. It may be nil.
	Record func(now time.Time, event ccevent.Event) uint64
}

// Dispatcher queues, sends and tracks the tasks of the jobs that one entry
// runs.
type Dispatcher struct {
	cfg           Config
	random        *rand.Rand
	settings      *ccsettings.Effective
	sendAllowed   bool // See SetSendAllowed.
	agents        map[ccnode.ID]*agent
	outsideSubset map[ccnode.ID]struct{}
	sortedAgents  []*agent // Sorted by ID, which makes the order of actions deterministic.
	services      map[string]*service
	jobs          map[ccjob.ID]*job
	deadlines     deadlineHeap
	domainInSince map[string]time.Time // When a domain last came back into service.
	actions       []Action
	counts        Counts
}

// Counts holds counters since the start, exported as metrics.
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

// New returns a dispatcher without settings and agents.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Entry.Incarnation))),
		settings:      &ccsettings.Effective{},
		sendAllowed:   true,
		agents:        make(map[ccnode.ID]*agent),
		outsideSubset: make(map[ccnode.ID]struct{}),
		services:      make(map[string]*service),
		jobs:          make(map[ccjob.ID]*job),
		domainInSince: make(map[string]time.Time),
	}
}

// Counts returns the current counters.
func (d *Dispatcher) Counts() Counts { return d.counts }

// SetSendAllowed sets whether the entry may send tasks. It may not while it is
// cut off from the store but its peers can reach the store.
func (d *Dispatcher) SetSendAllowed(allowed bool) { d.sendAllowed = allowed }

// MarkMayHaveRun records that another entry may have taken over the current
// jobs, so that none of them can be reported as not run.
func (d *Dispatcher) MarkMayHaveRun() {
	for _, j := range d.jobs {
		j.mayHaveStarted = true
	}
}

// SetSettings applies a version of the settings. An older version is ignored.
func (d *Dispatcher) SetSettings(now time.Time, settings *ccsettings.Effective) {
	if settings.Version < d.settings.Version {
		return
	}
	for name, domain := range settings.Domains {
		if before, known := d.settings.Domains[name]; known && before.Out && !domain.Out {
			d.domainInSince[name] = now
		}
	}
	d.settings = settings
	for name, serviceSettings := range settings.Services {
		d.service(name).configure(serviceSettings, d.cfg.Seed)
	}
	for _, a := range d.agents {
		a.health.Configure(d.healthConfig(a.service))
	}
}

// Actions sends waiting tasks to free slots and returns the actions added since
// the last call. Calling it once after several other methods batches tasks into
// larger messages.
func (d *Dispatcher) Actions(now time.Time) []Action {
	d.flush(now)
	actions := d.actions
	d.actions = nil
	return actions
}

// Tick handles everything that depends on time alone: deadlines, probes of
// silent agents, the end of ejections and throughput samples.
func (d *Dispatcher) Tick(now time.Time) {
	d.expire(now)
	d.probeSilent(now)
	d.recordReadmissions(now)
	for _, s := range d.services {
		s.completionRate.update(now)
	}
}

func (d *Dispatcher) record(now time.Time, event ccevent.Event) {
	if d.cfg.Record != nil {
		d.cfg.Record(now, event)
	}
}

func (d *Dispatcher) addAction(action Action) { d.actions = append(d.actions, action) }
