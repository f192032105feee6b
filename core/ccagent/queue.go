package ccagent

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

const (
	// holdLimit is how long a task may wait here for a slot. Sending it back costs
	// two messages and tells the entry what it can't know better, since its count
	// of free slots is as old as the last report to it.
	holdLimit = 30 * time.Millisecond
	// runMemory is about how many tasks the mean run time looks back on.
	runMemory = 50
)

// held is a task that found no slot and waits for the next one, for a short
// time. It has not started and is in no memory.
type held struct {
	session *session
	msg     ccwire.Dispatch // Without its jobs.
	part    ccwire.DispatchJob
	sent    ccwire.DispatchTask
	at      time.Time
}

// mayHold reports whether a slot is likely to be free within the limit. Slow
// targets hold nothing.
func (c *Controller) mayHold() bool {
	if c.meanRun <= 0 || c.Closed() {
		return false
	}
	wait := c.meanRun * time.Duration(len(c.held)+1) / time.Duration(c.Slots())
	return len(c.held) < c.Slots() && wait <= holdLimit
}

func (c *Controller) hold(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask) {
	h := held{session: s, msg: *msg, part: *part, sent: sent, at: now}
	h.msg.Jobs, h.part.Tasks = nil, nil
	c.held = append(c.held, h)
}

// startHeld starts what has waited longest, after all checks have been made
// again, and sends back what has waited too long.
func (c *Controller) startHeld(now time.Time) {
	for len(c.held) > 0 {
		h := &c.held[0]
		if !h.session.connected || h.session.number != h.msg.Session {
			c.dropHeld()
			continue
		}
		known := c.memory.peek(h.part.ID, h.sent.Index)
		if known != nil && known.started {
			c.repeat(now, h.session, &h.part, h.sent, known)
			c.dropHeld()
			continue
		}
		code, reason := c.check(now, h.session, &h.msg, &h.part, h.sent, known)
		if code == ccwire.CodeFull && now.Sub(h.at) < holdLimit && !c.Closed() {
			return
		}
		if code != "" {
			c.late.Bounced = append(c.late.Bounced, c.bounce(now, h.session, &h.msg, &h.part, h.sent, code, reason))
		} else {
			c.late.Starts = append(c.late.Starts, c.start(now, h.session, &h.msg, &h.part, h.sent))
		}
		c.dropHeld()
	}
}

func (c *Controller) dropHeld() {
	c.held[0] = held{}
	c.held = c.held[1:]
}

// forgetHeld drops a held task that is revoked.
func (c *Controller) forgetHeld(id ccjob.ID, index int) {
	c.held = slices.DeleteFunc(c.held, func(h held) bool { return h.part.ID == id && h.sent.Index == index })
}

// TakeQueueResult returns the held tasks that have started or were sent back since the
// last call.
func (c *Controller) TakeQueueResult() DispatchResult {
	late := c.late
	c.late = DispatchResult{}
	return late
}

// learnRun takes the run time of a task that ended.
func (c *Controller) learnRun(run time.Duration) {
	if run <= 0 {
		return
	}
	c.runs = min(c.runs+1, runMemory)
	c.meanRun += (run - c.meanRun) / time.Duration(c.runs)
}
