package ccproof

import (
	"fmt"
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// entry is a process around the real state machines, glued as in io/ccentry.
type entry struct {
	w      *world
	id     ccnode.ID
	skew   time.Duration
	paused bool
	cut    bool // From the store.

	ref        ccnode.Ref
	authority  *ccclaim.Authority
	requester  *ccclaim.Requester
	dispatcher *ccdispatch.Dispatcher
	rule       *ccoutage.Quorum
	roster     *ccroster.Roster
	membership *ccoutage.Membership
	born       time.Time
	listed     time.Time // When the agents' list was last read.
	rounds     time.Time // When the store was last called.
	asked      time.Time // When peers were last asked.
	outcomes   map[ccjob.ID]ccjob.Outcome
	claims     map[ccjob.ID]uint64
	waiters    map[ccjob.ID][]func(claim uint64, outcome ccjob.Outcome)
	specs      map[ccjob.ID]ccjob.Spec
	arrived    map[ccjob.ID]time.Time
	sessions   map[ccnode.ID]uint64
}

func (e *entry) clock() time.Time { return e.w.now.Add(e.skew) }

// start begins a life with an empty memory.
func (e *entry) start() {
	e.ref = ccnode.Ref{ID: e.id, Incarnation: e.w.nextLife()}
	e.rule = ccoutage.NewQuorum(ccoutage.Config{
		Self: e.ref, StoreSeenTTL: ccoutage.DefaultStoreSeenTTL, ConsentTTL: ccoutage.DefaultConsentTTL,
	})
	g := e.w.guards
	e.authority = ccclaim.NewAuthority(ccclaim.Config{
		Self: e.ref, MaxClaims: 100, ClockMargin: margin, GrantTTL: ccclaim.DefaultGrantTTL,
		MaxDriveTime: 2 * time.Minute, Retention: retention,
		Guards: ccclaim.Guards{Claims: g.claims, ProveNew: g.vouching, Leases: g.leases, GrantTTL: g.grantLife, Promises: g.promises},
	})
	e.requester = ccclaim.NewRequester(ccclaim.RequesterConfig{
		Self: e.ref, Authority: e.authority, GrantTTL: ccclaim.DefaultGrantTTL, Retention: retention,
		ValidUntil:        e.rule.ValidUntil,
		AgentIncarnations: e.lives,
	})
	e.dispatcher = ccdispatch.New(ccdispatch.Config{Entry: e.ref, Domain: "north", Seed: 1})
	settings := &ccsettings.Effective{Version: 1, Services: map[string]ccsettings.Service{service: ccsettings.DefaultService()}}
	e.dispatcher.SetSettings(e.clock(), settings)
	e.membership = ccoutage.NewMembership(e.rule, ccroster.Member{Ref: e.ref})
	e.roster, e.rounds, e.listed = &ccroster.Roster{}, time.Time{}, time.Time{}
	e.outcomes, e.claims = map[ccjob.ID]ccjob.Outcome{}, map[ccjob.ID]uint64{}
	e.waiters = map[ccjob.ID][]func(uint64, ccjob.Outcome){}
	e.specs, e.arrived = map[ccjob.ID]ccjob.Spec{}, map[ccjob.ID]time.Time{}
	e.sessions = map[ccnode.ID]uint64{}
	e.born = e.w.now
}

func (e *entry) running() bool { return e.ref.Incarnation != 0 }

func (e *entry) member() bool { return e.roster.Has(e.ref) }

// lives lists the agents' lives, once the store has shown them after since.
func (e *entry) lives(since time.Time) ([]ccclaim.AgentIncarnation, bool) {
	if !e.listed.After(since) {
		storeCall(e, "list of agents", func() bool { return true }, func(sent time.Time, _ bool) { e.listed = sent })
		return nil, false
	}
	return e.w.lives, true
}

// step runs one command as the control goroutine does: first it looks at the
// lease, and afterwards it carries out what was decided.
func (e *entry) step(command func()) {
	if !e.running() {
		return
	}
	e.checkLease()
	command()
	e.checkLease()
	for more := true; more; {
		more = false
		for _, action := range e.requester.Actions() {
			e.carryOut(action)
			more = true
		}
		for _, action := range e.dispatcher.Actions(e.clock()) {
			e.send(action)
			more = true
		}
	}
}

func (e *entry) checkLease() {
	if !e.w.guards.leases {
		return
	}
	valid := e.clock().Before(e.rule.ValidUntil())
	e.dispatcher.SetSendAllowed(valid)
	if !valid {
		e.dispatcher.MarkMayHaveRun()
	}
}

func (e *entry) tick() {
	e.step(func() {
		now := e.clock()
		e.meetAgents()
		e.gather(e.authority.Tick(now))
		e.requester.Tick(now)
		e.dispatcher.Tick(now)
		e.storeRound()
		e.pulse(now)
	})
}

// submit takes a job from a client or an awaiting entry. The waiter gets the
// outcome.
func (e *entry) submit(spec ccjob.Spec, waiter func(uint64, ccjob.Outcome)) {
	if outcome, ok := e.outcomes[spec.ID]; ok {
		waiter(e.claims[spec.ID], outcome)
		return
	}
	_, pending := e.waiters[spec.ID]
	e.waiters[spec.ID] = append(e.waiters[spec.ID], waiter)
	if pending {
		return
	}
	e.specs[spec.ID], e.arrived[spec.ID] = spec, e.clock()
	e.requester.ClaimJob(e.clock(), &spec, e.clock().Add(spec.Deadline))
}

func (e *entry) end(claim uint64, outcome ccjob.Outcome, keep bool) {
	id := outcome.JobID
	waiters := e.waiters[id]
	delete(e.waiters, id)
	if keep {
		e.outcomes[id], e.claims[id] = outcome, claim
	}
	for _, waiter := range waiters {
		waiter(claim, outcome)
	}
}

func (e *entry) carryOut(action ccclaim.Action) {
	w := e.w
	switch action := action.(type) {
	case *ccclaim.SendClaim:
		to := w.entryAt(action.To.Ref.ID)
		call(e, string(to.id), "claim", func() (reply ccwire.ClaimReply, ok bool) {
			to.step(func() { reply = to.authority.Claim(to.clock(), action.Message, to.rule.ValidUntil()) })
			return reply, true
		}, func(reply ccwire.ClaimReply) {
			w.note("   %s is told %s, claim %d", e.ref, reply.Result, reply.Claim)
			e.requester.HandleClaimReply(e.clock(), action.Token, reply)
		})
	case *ccclaim.SendRelease:
		to := w.entryAt(action.To.Ref.ID)
		w.send(string(to.id), "release", func() { to.step(func() { to.authority.Release(action.Message) }) })
	case *ccclaim.SendAwait:
		to := w.entryAt(action.To.Ref.ID)
		life := e.ref
		w.send(string(to.id), "await", func() {
			to.step(func() {
				to.awaited(action.Message, func(reply ccwire.AwaitReply) {
					w.send(string(e.id), "await answered", func() {
						if e.ref == life {
							e.step(func() { e.requester.HandleAwaitReply(e.clock(), action.Token, reply) })
						}
					})
				})
			})
		})
	case *ccclaim.SendRecover:
		a := w.agentAt(action.Agent.ID)
		life := e.ref
		call(e, string(a.id), "recover", func() (ccwire.RecoverReply, bool) {
			reply, err := a.table.Recover(w.now, life, action.Message)
			return reply, err == nil
		}, func(reply ccwire.RecoverReply) { e.requester.HandleRecoverReply(e.clock(), action.Token, reply) })
	case *ccclaim.Drive:
		e.drive(action)
	case *ccclaim.Finish:
		e.end(0, action.Outcome, false)
	}
}

// awaited answers another entry once the outcome is known.
func (e *entry) awaited(message ccwire.Await, reply func(ccwire.AwaitReply)) {
	known := func(_ uint64, outcome ccjob.Outcome) {
		if outcome.NotRun || outcome.State == ccjob.StateRefused {
			answer, _ := e.requester.ReplyToAwait(message)
			reply(answer)
			return
		}
		reply(ccwire.AwaitReply{Known: true, Outcome: outcome})
	}
	if outcome, ok := e.outcomes[message.JobID]; ok {
		known(0, outcome)
		return
	}
	if _, ok := e.waiters[message.JobID]; ok && message.Driver == e.ref {
		e.waiters[message.JobID] = append(e.waiters[message.JobID], known)
		return
	}
	answer, _ := e.requester.ReplyToAwait(message)
	reply(answer)
}

func (e *entry) drive(action *ccclaim.Drive) {
	spec := e.specs[action.JobID]
	var prior []ccdispatch.PriorTask
	revoke := map[ccnode.Ref][]ccwire.RevokeTask{}
	for _, fate := range action.Recovered {
		e.w.note("   %s: task %d is %s", e.ref, fate.Index, fate.State)
		p := ccdispatch.PriorTask{Index: fate.Index, Agent: fate.Report.Agent, Attempt: fate.Report.Task.Attempt, Answer: fate.Report.Task.Payload}
		switch {
		case fate.State == ccclaim.TaskNotStarted:
			continue
		case fate.State == ccclaim.TaskRunning:
			p.State = ccdispatch.PriorRunning
			revoke[p.Agent] = append(revoke[p.Agent], ccwire.RevokeTask{Index: p.Index, Attempt: p.Attempt})
		case fate.State == ccclaim.TaskEnded && fate.Report.Task.Code == ccwire.CodeDone:
			p.State = ccdispatch.PriorDone
		default:
			p.State = ccdispatch.PriorLost
		}
		prior = append(prior, p)
	}
	e.claims[spec.ID] = action.Claim
	e.dispatcher.Submit(e.clock(), ccdispatch.Submission{Spec: spec, Claim: action.Claim, Arrived: e.arrived[spec.ID], Prior: prior})
	for _, a := range e.w.agents {
		if tasks, ok := revoke[a.ref]; ok {
			e.revoke(a.id, ccwire.Revoke{Agent: a.ref, Jobs: []ccwire.RevokeJob{{ID: spec.ID, Claim: action.Claim, Tasks: tasks}}})
		}
	}
}

// send carries out what the dispatcher decided.
func (e *entry) send(action ccdispatch.Action) {
	switch action := action.(type) {
	case *ccdispatch.SendDispatch:
		a, from := e.w.agentAt(action.Agent), e.ref
		e.w.send(string(a.id), fmt.Sprintf("dispatch from %s", from), func() { a.dispatch(from, action.Message) })
	case *ccdispatch.SendRevoke:
		e.revoke(action.Agent, action.Message)
	case *ccdispatch.SendProbe:
		a, from := e.w.agentAt(action.Agent), e.ref
		call(e, string(a.id), "probe", func() (ccwire.Report, bool) {
			report, err := a.table.Probe(e.w.now, from)
			return report, err == nil
		}, func(report ccwire.Report) { e.dispatcher.HandleReport(e.clock(), report) })
	case *ccdispatch.EndJob:
		e.requester.JobEnded(action.Outcome.JobID, action.Claim, action.Release)
		e.end(action.Claim, action.Outcome, !action.Release)
	}
}

func (e *entry) revoke(id ccnode.ID, message ccwire.Revoke) {
	a := e.w.agentAt(id)
	call(e, string(id), "revoke", func() (ccwire.RevokeReply, bool) {
		reply, err := a.table.Revoke(e.w.now, message)
		return reply, err == nil
	}, func(reply ccwire.RevokeReply) { e.dispatcher.HandleRevokeReply(e.clock(), reply) })
}

// meetAgents connects to the agents some time after the start, when the list of
// them would have been read.
func (e *entry) meetAgents() {
	if len(e.sessions) > 0 || e.w.now.Sub(e.born) < meetAfter {
		return
	}
	for _, a := range e.w.agents {
		e.connect(a.id)
	}
}

// connect breaks the connection to an agent and makes a new one.
func (e *entry) connect(id ccnode.ID) {
	a := e.w.agentAt(id)
	e.dispatcher.AgentDown(e.clock(), id)
	e.sessions[id] = max(e.sessions[id]+1, uint64(e.w.now.UnixMilli()))
	hello := ccwire.Hello{Entry: e.ref, Session: e.sessions[id], Version: 1}
	call(e, string(id), "hello", func() (ccwire.HelloReply, bool) {
		reply, err := a.table.Hello(e.w.now, hello)
		return reply, err == nil
	}, func(reply ccwire.HelloReply) {
		if e.sessions[id] == hello.Session {
			e.dispatcher.AgentUp(e.clock(), hello.Session, reply)
		}
	})
}
