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
	// silence is how long an agent with tasks of ours may say nothing before it
	// is asked.
	silence = 500 * time.Millisecond
	// probeWait is how long a probe may go unanswered before the agent gets no
	// more work.
	probeWait = 250 * time.Millisecond
	// refusedHold is how long a target that took no connection gets no work.
	refusedHold = 500 * time.Millisecond
)

// outKey names a task that is out at an agent.
type outKey struct {
	job   ccjob.ID
	index int
}

// agent is what the entry knows of one agent and its target.
type agent struct {
	ref      ccnode.Ref
	up       bool
	session  uint64
	service  string
	domain   string
	slots    int
	leaving  bool
	version  uint64
	echo     int64
	free     int // As last reported, less what was sent since.
	wanted   int // The want that the agent was last told.
	unseen   []sentBatch
	seq      uint64
	out      map[outKey]struct{}
	speed    cctarget.Speed
	health   *cctarget.Health
	ejected  bool // As the events tell it.
	lastSeen time.Time
	probed   time.Time
	heldTill time.Time
	// aheadAfter is from when on another task may be sent beyond the free slots.
	aheadAfter time.Time
	offered    bool // Slots are held for this entry.

	outbox *ccwire.Dispatch // Being put together.
	boxJob map[ccjob.ID]int // Index of the job in the outbox.
}

// sentBatch is a dispatch that the agent has not yet been heard to handle.
type sentBatch struct {
	seq   uint64
	tasks int
}

func (d *Dispatcher) healthConfig(serviceName string) cctarget.HealthConfig {
	guards := d.service(serviceName).guards
	if !guards.Guards {
		return cctarget.HealthConfig{}
	}
	return cctarget.HealthConfig{FailureShare: guards.EjectFailureShare, EjectFor: guards.EjectFor.Std()}
}

func (d *Dispatcher) agent(ref ccnode.Ref, serviceName string) *agent {
	a, ok := d.agents[ref.ID]
	if !ok {
		a = &agent{ref: ref, out: make(map[outKey]struct{}), boxJob: make(map[ccjob.ID]int)}
		a.health = cctarget.NewHealth(d.healthConfig(serviceName))
		d.agents[ref.ID] = a
		at, _ := slices.BinarySearchFunc(d.ordered, ref.ID, compareAgent)
		d.ordered = slices.Insert(d.ordered, at, a)
	}
	return a
}

func compareAgent(a *agent, id ccnode.ID) int { return cmp.Compare(a.ref.ID, id) }

func (d *Dispatcher) forgetAgent(id ccnode.ID) {
	delete(d.agents, id)
	if at, ok := slices.BinarySearchFunc(d.ordered, id, compareAgent); ok {
		d.ordered = slices.Delete(d.ordered, at, at+1)
	}
}

// track notes a task that an earlier driver left running at an agent. It
// returns false when that life of the agent has ended.
func (d *Dispatcher) track(ref ccnode.Ref, key outKey) bool {
	a := d.agent(ref, "")
	if a.ref != ref {
		return false
	}
	a.out[key] = struct{}{}
	return true
}

// outKeys lists the tasks that are out at the agent, in a fixed order.
func (a *agent) outKeys() []outKey {
	return slices.SortedFunc(maps.Keys(a.out), func(x, y outKey) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.index, y.index))
	})
}

// silent reports whether the agent left a probe unanswered.
func (a *agent) silent(now time.Time) bool {
	return a.probed.After(a.lastSeen) && now.Sub(a.probed) > probeWait
}

// AgentUp starts a session with an agent. Tasks that were out at an earlier life
// of it are lost; tasks that were out at this life are asked about.
func (d *Dispatcher) AgentUp(now time.Time, session uint64, hello ccwire.HelloReply) {
	a := d.agent(hello.Agent, hello.Service)
	if a.ref.Incarnation != hello.Agent.Incarnation {
		d.loseAll(now, a)
		a.ref = hello.Agent
		a.speed = cctarget.Speed{}
		a.health = cctarget.NewHealth(d.healthConfig(hello.Service))
	}
	a.up, a.session, a.seq = true, session, 0
	a.service, a.domain, a.slots = hello.Service, hello.Domain, hello.Slots
	a.free, a.wanted, a.unseen = hello.Slots, 0, nil
	a.echo, a.version, a.leaving = hello.Clock, hello.Version, hello.Leaving
	a.lastSeen, a.probed = now, now
	a.health.Configure(d.healthConfig(hello.Service))
	d.record(now, ccevent.Event{Kind: ccevent.KindAgentUp, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain})
	d.revokeAll(a)
}

// AgentDown notes that the connection broke. Nothing is known of tasks that are
// out there until a new session or the end of that life.
func (d *Dispatcher) AgentDown(now time.Time, id ccnode.ID) {
	a, ok := d.agents[id]
	if !ok || !a.up {
		return
	}
	a.up = false
	d.record(now, ccevent.Event{Kind: ccevent.KindAgentDown, Index: ccevent.NoIndex, Peer: id, Count: len(a.out), Text: "connection broke"})
}

// AgentDeparted notes that a life of an agent has ended for good. Its tasks are
// lost.
func (d *Dispatcher) AgentDeparted(now time.Time, ref ccnode.Ref) {
	a, ok := d.agents[ref.ID]
	if !ok || a.ref.Incarnation > ref.Incarnation {
		return
	}
	d.loseAll(now, a)
	if !a.up {
		d.forgetAgent(ref.ID)
	}
}

func (d *Dispatcher) loseAll(now time.Time, a *agent) {
	for _, key := range a.outKeys() {
		d.lose(now, a, key, "its agent ended while the task was there")
	}
}

func (d *Dispatcher) lose(now time.Time, a *agent, key outKey, reason string) {
	delete(a.out, key)
	j, ok := d.jobs[key.job]
	if !ok {
		return
	}
	t := &j.tasks[key.index]
	t.state = taskLost
	j.sent--
	j.started = true
	d.counts.TasksLost++
	if !j.ended {
		d.fail(now, j, ccjob.KindLost, reason)
		return
	}
	d.forgetIfQuiet(j)
}

// revokeAll asks about every task that is out at the agent.
func (d *Dispatcher) revokeAll(a *agent) {
	if len(a.out) == 0 {
		return
	}
	message := ccwire.Revoke{Agent: a.ref}
	for _, key := range a.outKeys() {
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
	d.act(&SendRevoke{Agent: a.ref.ID, Message: message})
}

// probeSilent asks agents that hold tasks of ours and say nothing.
func (d *Dispatcher) probeSilent(now time.Time) {
	for _, a := range d.ordered {
		if !a.up || len(a.out) == 0 || now.Sub(a.lastSeen) < silence || now.Sub(a.probed) < silence {
			continue
		}
		a.probed = now
		d.counts.ProbesSent++
		d.act(&SendProbe{Agent: a.ref.ID, Message: ccwire.Probe{Agent: a.ref, Session: a.session}})
	}
}

// noteReadmitted records targets that get work again after an ejection.
func (d *Dispatcher) noteReadmitted(now time.Time) {
	for _, a := range d.ordered {
		if a.ejected && !a.health.Ejected(now) {
			a.ejected = false
			d.record(now, ccevent.Event{Kind: ccevent.KindReadmit, Index: ccevent.NoIndex, Peer: a.ref.ID, Domain: a.domain})
		}
	}
}
