package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// look renews the lease while anything runs, and once more to acknowledge the
// last ends; it goes on while a start without an answer may still arrive. One look
// that waits is under way at a time.
func (t *Table) look(now time.Time) {
	if t.worker == nil || t.looking || !t.lookDue(now) {
		return
	}
	t.looking, t.lookedAt = true, now
	call := LookCall{Worker: t.worker.ID, Token: t.token, Seen: t.seen, Sent: now}
	if t.misses == 0 && len(t.runs) > 0 {
		call.Wait = lookWait
	}
	if t.misses <= missesAllowed && len(t.runs) > t.strays() && !t.stopOverdue(now) && !t.clockAt.IsZero() {
		call.Until = t.extend(now)
	}
	if t.anyStopping() {
		call.Wait = min(call.Wait, stopTime)
	}
	t.out.Looks = append(t.out.Looks, call)
}

// check looks at once, beside a look that waits.
func (t *Table) check(now time.Time) {
	if t.worker == nil || t.checking {
		return
	}
	t.checking = true
	t.out.Looks = append(t.out.Looks, LookCall{Worker: t.worker.ID, Token: t.token, Seen: t.seen, Sent: now})
}

func (t *Table) anyStopping() bool {
	for _, r := range t.order {
		if r.phase == phaseStopping || r.phase == phaseStopped {
			return true
		}
	}
	return false
}

// Looked takes the answer to a LookCall.
func (t *Table) Looked(now time.Time, call LookCall, look Look) {
	if call.Wait == 0 && t.checking {
		t.checking = false
	} else {
		t.looking = false
	}
	if !t.checkAnswer(now, call.Worker, call.Token, look.Answer) {
		return
	}
	if look.Reply != ReplyOK {
		t.missed(now, look.Reply)
		return
	}
	silent := t.misses > missesAllowed
	t.misses = 0
	if silent {
		t.out.Changes = append(t.out.Changes, Change{What: "Worker answers again."})
		t.reportAll(now)
	}
	if !t.surveyed {
		t.surveyed = true
		defer t.reportAll(now)
	}
	t.acked = call.Seen
	t.takeEnds(now, look.Ended)
	t.takeRunning(now, call, look.Running)
	t.look(now)
	t.reportDue(now)
}

func (t *Table) missed(now time.Time, reply Reply) {
	if reply == ReplyNone || reply == ReplyUnhealthy {
		t.misses++
		if t.misses == missesAllowed+1 {
			t.out.Changes = append(t.out.Changes, Change{What: "Worker does not answer.", Reason: string(reply)})
			t.reportAll(now)
		}
	}
	t.look(now)
}

func (t *Table) takeEnds(now time.Time, ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= t.seen {
			continue
		}
		t.seen = e.Number
		if r := t.runs[e.Task]; r != nil && r.number == e.Run {
			t.takeEnd(now, r, e.End)
		}
	}
}

func (t *Table) takeEnd(now time.Time, r *run, end ccwire.RunOutcome) {
	switch end {
	case ccwire.RunDone:
		if t.health.pause > 0 {
			defer t.reportAll(now)
		}
		t.health.right()
		t.pace.learn(now.Sub(r.started), r.expected)
	case ccwire.RunFailed:
		t.wrong(now, r, "worker fails what it starts")
		if t.health.suspect() {
			// The job's attempts are not spent on a worker that fails everything.
			t.finish(now, r, ccwire.RunLost, "worker fails what it starts")
			return
		}
	case ccwire.RunStopped, ccwire.RunLost, ccwire.RunNoCapacity, ccwire.RunRefused:
	}
	t.finish(now, r, end, "")
}

// takeRunning compares the worker's list with the table's.
func (t *Table) takeRunning(now time.Time, call LookCall, running []Running) {
	listed := make(map[ccwire.TaskRef]bool, len(running))
	for _, item := range running {
		listed[item.Task] = true
		r := t.runs[item.Task]
		if r == nil || r.number != item.Run {
			if r == nil {
				t.stopUnknown(now, item)
			}
			continue
		}
		r.listed = true
		t.takePercent(now, r, item.Percent)
		if r.phase == phaseUnsure || r.phase == phaseStarting {
			r.phase = phaseRunning
			r.settled = now
			if !r.stopFrom.IsZero() {
				t.stop(now, r)
			}
		}
	}
	if t.pace.watch(t.order) {
		t.out.Changes = append(t.out.Changes, Change{What: "Worker pace changed.", Pace: t.pace.value()})
		t.reportAll(now)
	}
	for _, r := range slices.Clone(t.order) {
		if listed[r.task] || !call.Sent.After(r.settled) {
			continue
		}
		switch r.phase {
		case phaseRunning:
			t.finish(now, r, ccwire.RunLost, "run is no longer listed")
		case phaseStopped:
			t.finish(now, r, ccwire.RunStopped, "")
		case phaseUnsure:
			// The start may still be carried out; a stop closes its number.
			t.stop(now, r)
		case phaseStarting, phaseStopping:
		}
	}
}

// takePercent notes a run's progress, and a run that makes none.
func (t *Table) takePercent(now time.Time, r *run, percent int) {
	if percent > r.percent || r.moved.IsZero() {
		r.moved = now
	}
	r.percent, r.sampled = percent, now
	if r.stalled || r.owner == "" || !r.stopFrom.IsZero() || now.Sub(r.moved) < stallTime {
		return
	}
	r.stalled = true
	t.wrong(now, r, "worker makes no progress")
	if o := t.owners[r.owner]; o != nil {
		o.urgent = true
	}
}

// wrong counts a run that went wrong against the worker.
func (t *Table) wrong(now time.Time, r *run, reason string) {
	if t.health.wrong(now, r.task.Job, reason) {
		t.out.Changes = append(t.out.Changes, Change{What: "Worker rests.", Reason: reason, Age: t.health.pause})
		t.reportAll(now)
	}
}

// stopUnknown stops a run that no order of this incarnation has started. It
// takes room until it ends, so it enters the table with no owner.
func (t *Table) stopUnknown(now time.Time, item Running) {
	r := &run{task: item.Task, number: item.Run, phase: phaseRunning, listed: true, settled: now, started: now}
	t.add(r)
	t.numbers[item.Task] = numberUsed{number: max(item.Run, t.numbers[item.Task].number), at: now}
	t.stop(now, r)
}

// expireLease ends all runs when the last lease that the worker can have got is
// over.
func (t *Table) expireLease(now time.Time) {
	if t.worker == nil || t.misses <= missesAllowed && !t.stopOverdue(now) || t.leaseEnd.IsZero() || !now.After(t.leaseEnd) {
		return
	}
	for _, r := range slices.Clone(t.order) {
		t.finish(now, r, ccwire.RunLost, "lease is over without an answer from the worker")
	}
}
