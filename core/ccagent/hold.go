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
func (t *Table) mayHold() bool {
	if t.meanRun <= 0 || t.Closed() {
		return false
	}
	wait := t.meanRun * time.Duration(len(t.held)+1) / time.Duration(t.Slots())
	return len(t.held) < t.Slots() && wait <= holdLimit
}

func (t *Table) hold(now time.Time, s *session, msg *ccwire.Dispatch, part *ccwire.DispatchJob, sent ccwire.DispatchTask) {
	h := held{session: s, msg: *msg, part: *part, sent: sent, at: now}
	h.msg.Jobs, h.part.Tasks = nil, nil
	t.held = append(t.held, h)
}

// startHeld starts what has waited longest, after all checks have been made
// again, and sends back what has waited too long.
func (t *Table) startHeld(now time.Time) {
	for len(t.held) > 0 {
		h := &t.held[0]
		if !h.session.connected || h.session.number != h.msg.Session {
			t.dropHeld()
			continue
		}
		known := t.memory.peek(h.part.ID, h.sent.Index)
		if known != nil && known.started {
			t.repeat(now, h.session, &h.part, h.sent, known)
			t.dropHeld()
			continue
		}
		code, reason := t.check(now, h.session, &h.msg, &h.part, h.sent, known)
		if code == ccwire.CodeFull && now.Sub(h.at) < holdLimit && !t.Closed() {
			return
		}
		if code != "" {
			t.late.Bounced = append(t.late.Bounced, t.bounce(now, h.session, &h.msg, &h.part, h.sent, code, reason))
		} else {
			t.late.Starts = append(t.late.Starts, t.start(now, h.session, &h.msg, &h.part, h.sent))
		}
		t.dropHeld()
	}
}

func (t *Table) dropHeld() {
	t.held[0] = held{}
	t.held = t.held[1:]
}

// forgetHeld drops a held task that is revoked.
func (t *Table) forgetHeld(id ccjob.ID, index int) {
	t.held = slices.DeleteFunc(t.held, func(h held) bool { return h.part.ID == id && h.sent.Index == index })
}

// TakeLate returns the held tasks that have started or were sent back since the
// last call.
func (t *Table) TakeLate() Result {
	late := t.late
	t.late = Result{}
	return late
}

// learnRun takes the run time of a task that ended.
func (t *Table) learnRun(run time.Duration) {
	if run <= 0 {
		return
	}
	t.runs = min(t.runs+1, runMemory)
	t.meanRun += (run - t.meanRun) / time.Duration(t.runs)
}
