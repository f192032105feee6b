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

// entry is a process that runs the real state machines, connected as in
// io/ccentry.
type entry struct {
	w        *world
	id       ccnode.ID
	skew     time.Duration
	paused   bool
	storeCut bool // Its calls to the store are dropped.

	ref                ccnode.Ref
	authority          *ccclaim.Authority
	requester          *ccclaim.Requester
	dispatcher         *ccdispatch.Dispatcher
	quorum             *ccoutage.Quorum
	roster             *ccroster.Roster
	membership         *ccoutage.Membership
	startedAt          time.Time
	agentsListedAt     time.Time // When the list of agents was last read.
	storePolledAt      time.Time // When the store was last polled.
	consentRequestedAt time.Time // When consent was last requested from the members.
	outcomes           map[ccjob.ID]ccjob.Outcome
	claims             map[ccjob.ID]uint64
	waiters            map[ccjob.ID][]func(claim uint64, outcome ccjob.Outcome)
	specs              map[ccjob.ID]ccjob.Spec
	arrivedAt          map[ccjob.ID]time.Time
	sessions           map[ccnode.ID]uint64
}

func (e *entry) clock() time.Time { return e.w.now.Add(e.skew) }

// start begins a new incarnation with empty state.
func (e *entry) start() {
	e.ref = ccnode.Ref{ID: e.id, Incarnation: e.w.nextIncarnation()}
	e.quorum = ccoutage.NewQuorum(ccoutage.Config{
		Self: e.ref, StoreSeenTTL: ccoutage.DefaultStoreSeenTTL, ConsentTTL: ccoutage.DefaultConsentTTL,
	})
	g := e.w.guards
	e.authority = ccclaim.NewAuthority(ccclaim.Config{
		Self: e.ref, MaxClaims: 100, ClockMargin: clockMargin, GrantTTL: ccclaim.DefaultGrantTTL,
		MaxDriveTime: 2 * time.Minute, Retention: retention,
		Guards: ccclaim.Guards{Claims: g.claims, ProveNew: g.proveNew, Leases: g.leases, GrantTTL: g.grantTTL, Promises: g.promises},
	})
	e.requester = ccclaim.NewRequester(ccclaim.RequesterConfig{
		Self: e.ref, Authority: e.authority, GrantTTL: ccclaim.DefaultGrantTTL, Retention: retention,
		ValidUntil:        e.quorum.ValidUntil,
		AgentIncarnations: e.agentIncarnations,
	})
	e.dispatcher = ccdispatch.New(ccdispatch.Config{Entry: e.ref, Domain: "north", Seed: 1})
	settings := &ccsettings.Effective{Version: 1, Services: map[string]ccsettings.Service{service: ccsettings.DefaultService()}}
	e.dispatcher.SetSettings(e.clock(), settings)
	e.membership = ccoutage.NewMembership(e.quorum, ccroster.Member{Ref: e.ref})
	e.roster, e.storePolledAt, e.agentsListedAt = &ccroster.Roster{}, time.Time{}, time.Time{}
	e.outcomes, e.claims = map[ccjob.ID]ccjob.Outcome{}, map[ccjob.ID]uint64{}
	e.waiters = map[ccjob.ID][]func(uint64, ccjob.Outcome){}
	e.specs, e.arrivedAt = map[ccjob.ID]ccjob.Spec{}, map[ccjob.ID]time.Time{}
	e.sessions = map[ccnode.ID]uint64{}
	e.startedAt = e.w.now
}

func (e *entry) running() bool { return e.ref.Incarnation != 0 }

func (e *entry) member() bool { return e.roster.Has(e.ref) }

// agentIncarnations returns the incarnations of the agents, once the list of agents
// was read from the store after since.
func (e *entry) agentIncarnations(since time.Time) ([]ccclaim.AgentIncarnation, bool) {
	if !e.agentsListedAt.After(since) {
		callStore(e, "list of agents", func() bool { return true }, func(sent time.Time, _ bool) { e.agentsListedAt = sent })
		return nil, false
	}
	return e.w.agentIncarnations, true
}

// step runs one command as the control goroutine does: it checks the lease before
// and after, and then executes the resulting actions.
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
			e.executeClaimAction(action)
			more = true
		}
		for _, action := range e.dispatcher.Actions(e.clock()) {
			e.executeDispatchAction(action)
			more = true
		}
	}
}

func (e *entry) checkLease() {
	if !e.w.guards.leases {
		return
	}
	valid := e.clock().Before(e.quorum.ValidUntil())
	e.dispatcher.SetSendAllowed(valid)
	if !valid {
		e.dispatcher.MarkMayHaveRun()
	}
}

func (e *entry) tick() {
	e.step(func() {
		now := e.clock()
		e.connectAgents()
		e.sendGatherRequests(e.authority.Tick(now))
		e.requester.Tick(now)
		e.dispatcher.Tick(now)
		e.pollStore()
		e.renewConsent(now)
	})
}

// submit accepts a job from a client or an awaiting entry and calls waiter with
// its outcome.
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
	e.specs[spec.ID], e.arrivedAt[spec.ID] = spec, e.clock()
	e.requester.ClaimJob(e.clock(), &spec, e.clock().Add(spec.Deadline))
}

func (e *entry) finishJob(claim uint64, outcome ccjob.Outcome, keep bool) {
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

func (e *entry) executeClaimAction(action ccclaim.Action) {
	w := e.w
	switch action := action.(type) {
	case *ccclaim.SendClaim:
		to := w.entryAt(action.To.Ref.ID)
		call(e, string(to.id), "claim", func() (reply ccwire.ClaimReply, ok bool) {
			to.step(func() { reply = to.authority.Claim(to.clock(), action.Message, to.quorum.ValidUntil()) })
			return reply, true
		}, func(reply ccwire.ClaimReply) {
			w.logf("   %s receives claim reply %s, claim %d", e.ref, reply.Result, reply.Claim)
			e.requester.HandleClaimReply(e.clock(), action.Token, reply)
		})
	case *ccclaim.SendRelease:
		to := w.entryAt(action.To.Ref.ID)
		w.send(string(to.id), "release", func() { to.step(func() { to.authority.Release(action.Message) }) })
	case *ccclaim.SendAwait:
		to := w.entryAt(action.To.Ref.ID)
		self := e.ref
		w.send(string(to.id), "await", func() {
			to.step(func() {
				to.handleAwait(action.Message, func(reply ccwire.AwaitReply) {
					w.send(string(e.id), "await answered", func() {
						if e.ref == self {
							e.step(func() { e.requester.HandleAwaitReply(e.clock(), action.Token, reply) })
						}
					})
				})
			})
		})
	case *ccclaim.SendRecover:
		a := w.agentAt(action.Agent.ID)
		self := e.ref
		call(e, string(a.id), "recover", func() (ccwire.RecoverReply, bool) {
			reply, err := a.controller.Recover(w.now, self, action.Message)
			return reply, err == nil
		}, func(reply ccwire.RecoverReply) { e.requester.HandleRecoverReply(e.clock(), action.Token, reply) })
	case *ccclaim.Drive:
		e.drive(action)
	case *ccclaim.Finish:
		e.finishJob(0, action.Outcome, false)
	}
}

// handleAwait replies to another entry once the outcome is known.
func (e *entry) handleAwait(message ccwire.Await, reply func(ccwire.AwaitReply)) {
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
	for _, task := range action.Recovered {
		e.w.logf("   %s: task %d is %s", e.ref, task.Index, task.State)
		p := ccdispatch.PriorTask{Index: task.Index, Agent: task.Report.Agent, Attempt: task.Report.Task.Attempt, Answer: task.Report.Task.Payload}
		switch {
		case task.State == ccclaim.TaskNotStarted:
			continue
		case task.State == ccclaim.TaskRunning:
			p.State = ccdispatch.PriorRunning
			revoke[p.Agent] = append(revoke[p.Agent], ccwire.RevokeTask{Index: p.Index, Attempt: p.Attempt})
		case task.State == ccclaim.TaskEnded && task.Report.Task.Code == ccwire.CodeDone:
			p.State = ccdispatch.PriorDone
		default:
			p.State = ccdispatch.PriorLost
		}
		prior = append(prior, p)
	}
	e.claims[spec.ID] = action.Claim
	e.dispatcher.Submit(e.clock(), ccdispatch.Submission{Spec: spec, Claim: action.Claim, Arrived: e.arrivedAt[spec.ID], Prior: prior})
	for _, a := range e.w.agents {
		if tasks, ok := revoke[a.ref]; ok {
			e.revoke(a.id, ccwire.Revoke{Agent: a.ref, Jobs: []ccwire.RevokeJob{{ID: spec.ID, Claim: action.Claim, Tasks: tasks}}})
		}
	}
}

// executeDispatchAction executes an action of the dispatcher.
func (e *entry) executeDispatchAction(action ccdispatch.Action) {
	switch action := action.(type) {
	case *ccdispatch.SendDispatch:
		a, from := e.w.agentAt(action.Agent), e.ref
		e.w.send(string(a.id), fmt.Sprintf("dispatch from %s", from), func() { a.dispatch(from, action.Message) })
	case *ccdispatch.SendRevoke:
		e.revoke(action.Agent, action.Message)
	case *ccdispatch.SendProbe:
		a, from := e.w.agentAt(action.Agent), e.ref
		call(e, string(a.id), "probe", func() (ccwire.Report, bool) {
			report, err := a.controller.Probe(e.w.now, from)
			return report, err == nil
		}, func(report ccwire.Report) { e.dispatcher.HandleReport(e.clock(), report) })
	case *ccdispatch.EndJob:
		e.requester.JobEnded(action.Outcome.JobID, action.Claim, action.Release)
		e.finishJob(action.Claim, action.Outcome, !action.Release)
	}
}

func (e *entry) revoke(id ccnode.ID, message ccwire.Revoke) {
	a := e.w.agentAt(id)
	call(e, string(id), "revoke", func() (ccwire.RevokeReply, bool) {
		reply, err := a.controller.Revoke(e.w.now, message)
		return reply, err == nil
	}, func(reply ccwire.RevokeReply) { e.dispatcher.HandleRevokeReply(e.clock(), reply) })
}

// connectAgents connects to the agents connectDelay after the start, when the real
// entry would have read the list of agents.
func (e *entry) connectAgents() {
	if len(e.sessions) > 0 || e.w.now.Sub(e.startedAt) < connectDelay {
		return
	}
	for _, a := range e.w.agents {
		e.connect(a.id)
	}
}

// connect closes the connection to an agent and opens a new one.
func (e *entry) connect(id ccnode.ID) {
	a := e.w.agentAt(id)
	e.dispatcher.AgentDown(e.clock(), id)
	e.sessions[id] = max(e.sessions[id]+1, uint64(e.w.now.UnixMilli()))
	hello := ccwire.Hello{Entry: e.ref, Session: e.sessions[id], Version: 1}
	call(e, string(id), "hello", func() (ccwire.HelloReply, bool) {
		reply, err := a.controller.Hello(e.w.now, hello)
		return reply, err == nil
	}, func(reply ccwire.HelloReply) {
		if e.sessions[id] == hello.Session {
			e.dispatcher.AgentUp(e.clock(), hello.Session, reply)
		}
	})
}
