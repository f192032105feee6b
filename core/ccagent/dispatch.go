package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Dispatch decides which tasks start. Bounced tasks are added to the next report to
// the entry and returned for the event log; tasks that are likely to get a slot
// soon are queued. A dispatch for another incarnation of the agent or of an older
// session is ignored as a whole: an answer would prove nothing, and the entry
// revokes the tasks that it sent earlier.
func (c *Controller) Dispatch(now time.Time, from ccnode.Ref, msg ccwire.Dispatch) DispatchResult {
	c.advanceClock(now)
	if msg.Agent != c.cfg.Self && !c.cfg.Guards.SkipIncarnation {
		return DispatchResult{Ignored: true}
	}
	s, ok := c.sessions[from.ID]
	if !ok {
		return DispatchResult{Ignored: true}
	}
	current := s.connected && s.entry == from && s.number == msg.Session
	if !current && !c.cfg.Guards.SkipSession {
		return DispatchResult{Ignored: true}
	}
	c.noteVersion(s, msg.Version)
	s.handledSeq = max(s.handledSeq, msg.Seq)
	if s.wantSlots == 0 && msg.WantSlots > 0 {
		s.offerCount = c.minOfferCount()
	}
	s.wantSlots = max(msg.WantSlots, 0)
	result := DispatchResult{}
	for i := range msg.Jobs {
		c.dispatchJob(now, s, &msg, &msg.Jobs[i], &result)
	}
	c.offerSlots(now, s)
	return result
}

func (c *Controller) dispatchJob(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, result *DispatchResult) {
	for _, task := range part.Tasks {
		rec := c.jobs.findTask(part.ID, task.Index)
		if rec != nil && rec.started && !c.cfg.Guards.SkipDuplicate {
			c.answerDuplicate(now, s, part, task, rec)
			continue
		}
		code, reason := c.checkStart(now, s, msg, part, task, rec)
		switch {
		case code == "":
			result.Starts = append(result.Starts, c.startTask(now, s, msg, part, task))
		case code == ccwire.CodeFull && c.jobs.hasRoomForStart() && c.canQueue():
			c.enqueue(now, s, msg, part, task)
		default:
			result.Bounced = append(result.Bounced, c.bounceTask(now, s, msg, part, task, code, reason))
		}
	}
}

// checkStart returns the code and the reason why a task must not start, or an
// empty code if it may.
func (c *Controller) checkStart(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, task ccwire.DispatchTask, rec *taskRecord) (ccwire.TaskCode, string) {
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
	case !guards.SkipFence && c.isFenced(part):
		return ccwire.CodeFenced, "a later claim got there first"
	case !guards.SkipTombstone && rec != nil && rec.hasTombstone(part.Claim, task.Attempt):
		return ccwire.CodeFenced, "the attempt was revoked"
	case !c.jobs.hasRoomForStart():
		return ccwire.CodeFull, "the memory of started tasks is full"
	case !guards.SkipSlots && c.freeSlots(s) == 0:
		return ccwire.CodeFull, ""
	default:
		return "", ""
	}
}

// staleEcho reports whether a dispatch may predate a pause of the agent or a
// settings change that has not reached the agent. An old echo alone is harmless
// while the agent's own view of the settings is known to be current.
func (c *Controller) staleEcho(now time.Time, echo int64) bool {
	echoTime := time.Duration(echo) * time.Millisecond
	age := c.Clock(now) - echoTime
	if age < 0 || echoTime < c.minEcho.Truncate(time.Millisecond) {
		return true
	}
	return age > maxEchoAge && (age > maxIdleEchoAge || now.Sub(c.viewConfirmed) > maxViewAge)
}

func (c *Controller) isFenced(part *ccwire.DispatchJob) bool {
	j, ok := c.jobs.byID[part.ID]
	return ok && part.Claim < j.claim
}

// startTask records the task as started and takes a slot. If slots are offered to
// the entry, it takes one of those.
func (c *Controller) startTask(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, task ccwire.DispatchTask) Start {
	j := c.jobs.ensureJob(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.driver = part.Claim, s.entry
	}
	rec := c.jobs.ensureTask(j, task.Index)
	rec.started, rec.code, rec.attempt = true, ccwire.CodeRunning, task.Attempt
	j.running++
	c.running++
	if len(s.offers) > 0 {
		s.offers = s.offers[1:]
		s.unreportedOffers = min(s.unreportedOffers, len(s.offers))
	}
	return Start{
		From: s.entry, Cause: msg.Cause,
		Job: part.ID, Index: task.Index, Attempt: task.Attempt, Claim: part.Claim, Payload: task.Payload,
		Budget: time.Duration(part.BudgetMS) * time.Millisecond, LatestStart: now.Add(maxStartDelay),
	}
}

// bounceTask reports a task as not started and adds a tombstone, so that a late
// copy of the same attempt doesn't start either. Without room the tombstone can be
// omitted, since messages of one session arrive once and in order.
func (c *Controller) bounceTask(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, task ccwire.DispatchTask, code ccwire.TaskCode, reason string) Bounce {
	s.addReport(part.ID, part.Claim, ccwire.TaskReport{Index: task.Index, Attempt: task.Attempt, Code: code, Reason: reason})
	if c.jobs.hasReserve(2) {
		c.jobs.ensureTask(c.jobs.ensureJob(now, part.ID), task.Index).addTombstone(part.Claim, task.Attempt)
	}
	return Bounce{From: s.entry, Cause: msg.Cause, Job: part.ID, Index: task.Index, Claim: part.Claim, Code: code}
}

// answerDuplicate reports a task that has started before. If the task still runs,
// its result will go to the entry that sent the duplicate, unless that entry holds
// an earlier claim.
func (c *Controller) answerDuplicate(now time.Time, s *session, part *ccwire.DispatchJob, task ccwire.DispatchTask, rec *taskRecord) {
	j := c.jobs.ensureJob(now, part.ID)
	if part.Claim >= j.claim {
		j.claim, j.driver = part.Claim, s.entry
		rec.attempt = max(rec.attempt, task.Attempt)
	}
	s.addReport(part.ID, part.Claim, rec.report(task.Index, task.Attempt))
}
