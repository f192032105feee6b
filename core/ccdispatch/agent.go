package ccdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/cctarget"
	"camphorcroft/core/ccwire"
)

const (
	// probeAfter is how long an agent with tasks in flight may be silent before
	// it is probed.
	probeAfter = 500 * time.Millisecond
	// probeTimeout is how long a probe may stay unanswered before the agent
	// gets no more tasks.
	probeTimeout = 250 * time.Millisecond
	// refusedBackoff is the minimum time that an agent gets no tasks after its
	// target refused a connection. The actual time is random, up to twice as
	// long.
	refusedBackoff = 500 * time.Millisecond
)

// taskKey identifies a task.
type taskKey struct {
	job   ccjob.ID
	index int
}

// agent is the dispatcher's state for one agent and its target.
type agent struct {
	ref              ccnode.Ref
	up               bool
	session          uint64
	service          string
	domain           string
	slots            int
	leaving          bool
	version          uint64
	clock            int64 // Highest clock value received, echoed in dispatches.
	free             int   // Last reported count, less tasks sent since.
	lastWant         int   // WantSlots of the last dispatch, less the slots offered since.
	unacked          []unackedDispatch
	seq              uint64
	inFlight         map[taskKey]struct{}
	speed            cctarget.Speed
	health           *cctarget.Health
	ejectionRecorded bool // An ejected event was recorded, and no readmitted event since.
	lastSeen         time.Time
	lastProbe        time.Time // Also set when a session starts.
	backoffUntil     time.Time // No tasks are sent before this time.
	// prefetchAfter is the earliest time for the next prefetched task.
	prefetchAfter time.Time
	hasOffer      bool // The agent is holding slots for this entry.

	outbox     *ccwire.Dispatch // The next dispatch, not yet sent.
	outboxJobs map[ccjob.ID]int // Index of each job in outbox.Jobs.
}

// unackedDispatch is a dispatch that no report from the agent has covered yet.
type unackedDispatch struct {
	seq   uint64
	tasks int
}

// healthConfig returns when targets of the service are ejected. With guards
// off, they never are.
func (d *Dispatcher) healthConfig(serviceName string) cctarget.HealthConfig {
	settings := d.service(serviceName).settings
	if !settings.Guards {
		return cctarget.HealthConfig{}
	}
	return cctarget.HealthConfig{FailureShare: settings.EjectFailureShare, EjectFor: settings.EjectFor.Std()}
}

// agent returns the state of an agent, which it creates if the agent is new.
func (d *Dispatcher) agent(ref ccnode.Ref, serviceName string) *agent {
	a, ok := d.agents[ref.ID]
	if !ok {
		a = &agent{ref: ref, inFlight: make(map[taskKey]struct{}), outboxJobs: make(map[ccjob.ID]int)}
		a.health = cctarget.NewHealth(d.healthConfig(serviceName))
		d.agents[ref.ID] = a
		at, _ := slices.BinarySearchFunc(d.sortedAgents, ref.ID, compareAgentID)
		d.sortedAgents = slices.Insert(d.sortedAgents, at, a)
	}
	return a
}

func compareAgentID(a *agent, id ccnode.ID) int { return cmp.Compare(a.ref.ID, id) }

func (d *Dispatcher) removeAgent(id ccnode.ID) {
	delete(d.agents, id)
	if at, ok := slices.BinarySearchFunc(d.sortedAgents, id, compareAgentID); ok {
		d.sortedAgents = slices.Delete(d.sortedAgents, at, at+1)
	}
}

// adoptTask tracks a task that an earlier driver of the job left running at an
// agent. It returns false if that incarnation of the agent has ended.
func (d *Dispatcher) adoptTask(ref ccnode.Ref, key taskKey) bool {
	a := d.agent(ref, "")
	if a.ref != ref {
		return false
	}
	a.inFlight[key] = struct{}{}
	return true
}

// inFlightKeys returns the tasks in flight at the agent in a deterministic
// order.
func (a *agent) inFlightKeys() []taskKey {
	return slices.SortedFunc(maps.Keys(a.inFlight), func(x, y taskKey) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.index, y.index))
	})
}

// silent reports whether the agent left a probe unanswered.
func (a *agent) silent(now time.Time) bool {
	return a.lastProbe.After(a.lastSeen) && now.Sub(a.lastProbe) > probeTimeout
}

// AgentUp starts a session with an agent. Tasks in flight at an earlier
// incarnation are lost. Tasks in flight at the same incarnation are revoked.
func (d *Dispatcher) AgentUp(now time.Time, session uint64, hello ccwire.HelloReply) {
	a := d.agent(hello.Agent, hello.Service)
	if a.ref.Incarnation != hello.Agent.Incarnation {
		d.loseAllTasks(now, a)
		a.ref = hello.Agent
		a.speed = cctarget.Speed{}
		a.health = cctarget.NewHealth(d.healthConfig(hello.Service))
	}
	a.up, a.session, a.seq = true, session, 0
	a.service, a.domain, a.slots = hello.Service, hello.Domain, hello.Slots
	a.free, a.lastWant, a.unacked = hello.Slots, 0, nil
	a.clock, a.version, a.leaving = hello.Clock, hello.Version, hello.Leaving
	a.lastSeen, a.lastProbe = now, now
	a.health.Configure(d.healthConfig(hello.Service))
	d.record(now, ccevent.Event{Kind: ccevent.KindAgentUp, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain})
	d.revokeAll(a)
}

// AgentDown handles a broken connection. The state of the tasks in flight is
// unknown until a new session starts or that incarnation ends.
func (d *Dispatcher) AgentDown(now time.Time, id ccnode.ID) {
	a, ok := d.agents[id]
	if !ok || !a.up {
		return
	}
	a.up = false
	d.record(now, ccevent.Event{Kind: ccevent.KindAgentDown, Index: ccevent.NoIndex, Peer: id, Count: len(a.inFlight), Text: "connection broke"})
}

// AgentDeparted handles the permanent end of an incarnation of an agent. Its
// tasks in flight are lost.
func (d *Dispatcher) AgentDeparted(now time.Time, ref ccnode.Ref) {
	a, ok := d.agents[ref.ID]
	if !ok || a.ref.Incarnation > ref.Incarnation {
		return
	}
	d.loseAllTasks(now, a)
	if !a.up {
		d.removeAgent(ref.ID)
	}
}

func (d *Dispatcher) loseAllTasks(now time.Time, a *agent) {
	for _, key := range a.inFlightKeys() {
		d.loseTask(now, a, key, "the agent restarted or left the fleet before it reported the task")
	}
}

// loseTask marks a task in flight as lost and fails its job, unless the job has
// already ended.
func (d *Dispatcher) loseTask(now time.Time, a *agent, key taskKey, reason string) {
	delete(a.inFlight, key)
	j, ok := d.jobs[key.job]
	if !ok {
		return
	}
	t := &j.tasks[key.index]
	t.state = taskLost
	j.sent--
	j.mayHaveStarted = true
	d.counts.TasksLost++
	if !j.ended {
		d.fail(now, j, ccjob.KindLost, reason)
		return
	}
	d.removeIfDrained(j)
}

// revokeAll revokes all tasks in flight at the agent; the reply tells which of
// them started.
func (d *Dispatcher) revokeAll(a *agent) {
	if len(a.inFlight) == 0 {
		return
	}
	message := ccwire.Revoke{Agent: a.ref}
	for _, key := range a.inFlightKeys() {
		j := d.jobs[key.job]
		last := len(message.Jobs) - 1
		if last < 0 || message.Jobs[last].ID != key.job {
			message.Jobs = append(message.Jobs, ccwire.RevokeJob{ID: key.job, Claim: j.claim})
			last++
		}
		part := &message.Jobs[last]
		part.Tasks = append(part.Tasks, ccwire.RevokeTask{Index: key.index, Attempt: j.tasks[key.index].attempt})
	}
	d.counts.Revokes++
	d.addAction(&SendRevoke{Agent: a.ref.ID, Message: message})
}

// probeSilent probes connected agents that have tasks in flight and have been
// silent for too long.
func (d *Dispatcher) probeSilent(now time.Time) {
	for _, a := range d.sortedAgents {
		if !a.up || len(a.inFlight) == 0 || now.Sub(a.lastSeen) < probeAfter || now.Sub(a.lastProbe) < probeAfter {
			continue
		}
		a.lastProbe = now
		d.counts.ProbesSent++
		d.addAction(&SendProbe{Agent: a.ref.ID, Message: ccwire.Probe{Agent: a.ref, Session: a.session}})
	}
}

// recordReadmissions records an event for each target whose ejection has ended.
func (d *Dispatcher) recordReadmissions(now time.Time) {
	for _, a := range d.sortedAgents {
		if a.ejectionRecorded && !a.health.Ejected(now) {
			a.ejectionRecorded = false
			d.record(now, ccevent.Event{Kind: ccevent.KindReadmit, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain})
		}
	}
}
