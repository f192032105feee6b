package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Dispatch decides which tasks start. What does not start is put into the next
// report to the entry, and listed for the record. A dispatch for another life
// of the agent or of an older session is ignored whole: a reply from here would
// prove nothing, and the entry revokes what it sent before.
func (t *Table) Dispatch(now time.Time, from ccnode.Ref, msg ccwire.Dispatch) Result {
	t.observe(now)
	if msg.Agent != t.cfg.Self && !t.cfg.Guards.SkipIncarnation {
		return Result{Ignored: true}
	}
	s, ok := t.sessions[from.ID]
	if !ok {
		return Result{Ignored: true}
	}
	newest := s.connected && s.entry == from && s.number == msg.Session
	if !newest && !t.cfg.Guards.SkipSession {
		return Result{Ignored: true}
	}
	t.noteVersion(s, msg.Version)
	s.seen = max(s.seen, msg.Seq)
	if s.want == 0 && msg.WantSlots > 0 {
		s.served = t.leastServed()
	}
	s.want = max(msg.WantSlots, 0)
	result := Result{}
	for i := range msg.Jobs {
		t.dispatchJob(now, s, &msg, &msg.Jobs[i], &result)
	}
	t.offer(now, s)
	return result
}

func (t *Table) dispatchJob(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, result *Result) {
	for _, sent := range part.Tasks {
		known := t.memory.peek(part.ID, sent.Index)
		if known != nil && known.started && !t.cfg.Guards.SkipOnce {
			t.repeat(now, s, part, sent, known)
			continue
		}
		code, reason := t.check(now, s, msg, part, sent, known)
		switch {
		case code == "":
			result.Starts = append(result.Starts, t.start(now, s, msg, part, sent))
		case code == ccwire.CodeFull && t.memory.roomForStart() && t.mayHold():
			t.hold(now, s, msg, part, sent)
		default:
			result.Bounced = append(result.Bounced, t.bounce(now, s, msg, part, sent, code, reason))
		}
	}
}

// check returns why a task may not start, or an empty code.
func (t *Table) check(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask, known *task) (ccwire.TaskCode, string) {
	guards := t.cfg.Guards
	switch {
	case !guards.SkipEcho && t.staleEcho(now, msg.Echo):
		return ccwire.CodeStale, "the echo is too old"
	case !guards.SkipVersion && msg.Version < t.Version():
		return ccwire.CodeStale, "the settings version is too old"
	case part.BudgetMS <= 0:
		return ccwire.CodeStale, "the deadline has passed"
	case !guards.SkipClosed && t.leaving:
		return ccwire.CodeClosed, "the agent is leaving"
	case !guards.SkipClosed && t.Closed():
		return ccwire.CodeClosed, "the failure domain is out"
	case part.Service != t.cfg.Service:
		return ccwire.CodeClosed, "the target serves another service"
	case !guards.SkipFence && t.fenced(part):
		return ccwire.CodeFenced, "a later claim got there first"
	case !guards.SkipTombstone && known != nil && known.buried(part.Claim, sent.Attempt):
		return ccwire.CodeFenced, "the attempt was revoked"
	case !t.memory.roomForStart():
		return ccwire.CodeFull, "the memory of started tasks is full"
	case !guards.SkipSlots && t.free(s) == 0:
		return ccwire.CodeFull, ""
	default:
		return "", ""
	}
}

// staleEcho reports whether a dispatch may be from before something that the
// agent should know: a pause of its own, or a change of the settings. An echo
// that is merely old is no harm while the agent's own view is known to be new.
func (t *Table) staleEcho(now time.Time, echo int64) bool {
	at := time.Duration(echo) * time.Millisecond
	age := t.Clock(now) - at
	if age < 0 || at < t.fresh.Truncate(time.Millisecond) {
		return true
	}
	return age > echoLimit && (age > idleEchoLimit || now.Sub(t.confirmed) > confirmLimit)
}

func (t *Table) fenced(part *ccwire.DispatchJob) bool {
	known, ok := t.memory.jobs[part.ID]
	return ok && part.Claim < known.claim
}

// start marks the task and takes a slot, first one that was offered to the entry.
func (t *Table) start(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask) Start {
	j := t.memory.touch(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.owner = part.Claim, s.entry
	}
	known := t.memory.task(j, sent.Index)
	known.started, known.code, known.attempt = true, ccwire.CodeRunning, sent.Attempt
	j.running++
	t.running++
	if len(s.offers) > 0 {
		s.offers = s.offers[1:]
		s.newOffers = min(s.newOffers, len(s.offers))
	}
	return Start{
		From: s.entry, Cause: msg.Cause,
		Job: part.ID, Index: sent.Index, Attempt: sent.Attempt, Claim: part.Claim, Payload: sent.Payload,
		Budget: time.Duration(part.BudgetMS) * time.Millisecond, By: now.Add(startLimit),
	}
}

// bounce answers a task that did not start, and leaves a tombstone so that a
// late copy of the same attempt doesn't start either. Messages of one session
// come once and in order, so a table without room may leave the tombstone out.
func (t *Table) bounce(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask, code ccwire.TaskCode, reason string) Bounce {
	s.add(part.ID, part.Claim, ccwire.TaskReport{Index: sent.Index, Attempt: sent.Attempt, Code: code, Reason: reason})
	if t.memory.roomForPromise(2) {
		t.memory.task(t.memory.touch(now, part.ID), sent.Index).bury(part.Claim, sent.Attempt)
	}
	return Bounce{From: s.entry, Cause: msg.Cause, Job: part.ID, Index: sent.Index, Claim: part.Claim, Code: code}
}

// repeat answers a task that has started before. When it still runs, its end
// goes to the entry that asks, unless that holds an earlier claim.
func (t *Table) repeat(now time.Time, s *session, part *ccwire.DispatchJob, sent ccwire.DispatchTask, known *task) {
	j := t.memory.touch(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.owner = part.Claim, s.entry
		known.attempt = max(known.attempt, sent.Attempt)
	}
	s.add(part.ID, part.Claim, known.report(sent.Index, sent.Attempt))
}
