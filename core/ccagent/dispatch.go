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
func (c *Controller) Dispatch(now time.Time, from ccnode.Ref, msg ccwire.Dispatch) DispatchResult {
	c.observe(now)
	if msg.Agent != c.cfg.Self && !c.cfg.Guards.SkipIncarnation {
		return DispatchResult{Ignored: true}
	}
	s, ok := c.sessions[from.ID]
	if !ok {
		return DispatchResult{Ignored: true}
	}
	newest := s.connected && s.entry == from && s.number == msg.Session
	if !newest && !c.cfg.Guards.SkipSession {
		return DispatchResult{Ignored: true}
	}
	c.noteVersion(s, msg.Version)
	s.seen = max(s.seen, msg.Seq)
	if s.want == 0 && msg.WantSlots > 0 {
		s.served = c.leastServed()
	}
	s.want = max(msg.WantSlots, 0)
	result := DispatchResult{}
	for i := range msg.Jobs {
		c.dispatchJob(now, s, &msg, &msg.Jobs[i], &result)
	}
	c.offer(now, s)
	return result
}

func (c *Controller) dispatchJob(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, result *DispatchResult) {
	for _, sent := range part.Tasks {
		known := c.memory.peek(part.ID, sent.Index)
		if known != nil && known.started && !c.cfg.Guards.SkipDuplicate {
			c.repeat(now, s, part, sent, known)
			continue
		}
		code, reason := c.check(now, s, msg, part, sent, known)
		switch {
		case code == "":
			result.Starts = append(result.Starts, c.start(now, s, msg, part, sent))
		case code == ccwire.CodeFull && c.memory.roomForStart() && c.mayHold():
			c.hold(now, s, msg, part, sent)
		default:
			result.Bounced = append(result.Bounced, c.bounce(now, s, msg, part, sent, code, reason))
		}
	}
}

// check returns why a task may not start, or an empty code.
func (c *Controller) check(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask, known *task) (ccwire.TaskCode, string) {
	guards := c.cfg.Guards
	switch {
	case !guards.SkipEcho && c.staleEcho(now, msg.Echo):
		return ccwire.CodeStale, "the echo is too old"
	case !guards.SkipVersion && msg.Version < c.Version():
		return ccwire.CodeStale, "the settings version is too old"
	case part.BudgetMS <= 0:
		return ccwire.CodeStale, "the deadline has passed"
	case !guards.SkipClosed && c.leaving:
		return ccwire.CodeClosed, "the agent is leaving"
	case !guards.SkipClosed && c.Closed():
		return ccwire.CodeClosed, "the failure domain is out"
	case part.Service != c.cfg.Service:
		return ccwire.CodeClosed, "the target serves another service"
	case !guards.SkipFence && c.fenced(part):
		return ccwire.CodeFenced, "a later claim got there first"
	case !guards.SkipTombstone && known != nil && known.buried(part.Claim, sent.Attempt):
		return ccwire.CodeFenced, "the attempt was revoked"
	case !c.memory.roomForStart():
		return ccwire.CodeFull, "the memory of started tasks is full"
	case !guards.SkipSlots && c.free(s) == 0:
		return ccwire.CodeFull, ""
	default:
		return "", ""
	}
}

// staleEcho reports whether a dispatch may be from before something that the
// agent should know: a pause of its own, or a change of the settings. An echo
// that is merely old is no harm while the agent's own view is known to be new.
func (c *Controller) staleEcho(now time.Time, echo int64) bool {
	at := time.Duration(echo) * time.Millisecond
	age := c.Clock(now) - at
	if age < 0 || at < c.fresh.Truncate(time.Millisecond) {
		return true
	}
	return age > echoLimit && (age > idleEchoLimit || now.Sub(c.confirmed) > confirmLimit)
}

func (c *Controller) fenced(part *ccwire.DispatchJob) bool {
	known, ok := c.memory.jobs[part.ID]
	return ok && part.Claim < known.claim
}

// start marks the task and takes a slot, first one that was offered to the entry.
func (c *Controller) start(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask) Start {
	j := c.memory.touch(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.owner = part.Claim, s.entry
	}
	known := c.memory.task(j, sent.Index)
	known.started, known.code, known.attempt = true, ccwire.CodeRunning, sent.Attempt
	j.running++
	c.running++
	if len(s.offers) > 0 {
		s.offers = s.offers[1:]
		s.newOffers = min(s.newOffers, len(s.offers))
	}
	return Start{
		From: s.entry, Cause: msg.Cause,
		Job: part.ID, Index: sent.Index, Attempt: sent.Attempt, Claim: part.Claim, Payload: sent.Payload,
		Budget: time.Duration(part.BudgetMS) * time.Millisecond, LatestStart: now.Add(startLimit),
	}
}

// bounce answers a task that did not start, and leaves a tombstone so that a
// late copy of the same attempt doesn't start either. Messages of one session
// come once and in order, so a table without room may leave the tombstone out.
func (c *Controller) bounce(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask, code ccwire.TaskCode, reason string) Bounce {
	s.add(part.ID, part.Claim, ccwire.TaskReport{Index: sent.Index, Attempt: sent.Attempt, Code: code, Reason: reason})
	if c.memory.roomForPromise(2) {
		c.memory.task(c.memory.touch(now, part.ID), sent.Index).bury(part.Claim, sent.Attempt)
	}
	return Bounce{From: s.entry, Cause: msg.Cause, Job: part.ID, Index: sent.Index, Claim: part.Claim, Code: code}
}

// repeat answers a task that has started before. When it still runs, its end
// goes to the entry that asks, unless that holds an earlier claim.
func (c *Controller) repeat(now time.Time, s *session, part *ccwire.DispatchJob, sent ccwire.DispatchTask, known *task) {
	j := c.memory.touch(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.owner = part.Claim, s.entry
		known.attempt = max(known.attempt, sent.Attempt)
	}
	s.add(part.ID, part.Claim, known.report(sent.Index, sent.Attempt))
}
