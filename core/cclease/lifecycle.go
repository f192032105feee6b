package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// Heartbeat takes what the worker says of itself.
func (t *Manager) Heartbeat(now time.Time, worker Worker) {
	current := t.worker
	switch {
	case current == nil || current.ID != worker.ID:
		t.newWorker(now, &worker)
	case worker.StartTime.After(current.StartTime):
		t.reborn(now, worker.StartTime)
		t.describe(&worker)
	case worker.StartTime.Before(current.StartTime) || worker.Sequence < current.Sequence:
		return // A late heartbeat.
	}
	changed := current == nil || current.Draining != worker.Draining || !t.heard
	t.worker = &worker
	t.heard = true
	t.beatAt = now
	if worker.Clock > 0 && t.clockAt.IsZero() {
		t.clock, t.clockAt = worker.Clock, now
	}
	if changed {
		t.out.Changes = append(t.out.Changes, Change{Message: "Worker heard.", Reason: worker.ID})
		t.reportAll(now)
	}
	t.look(now)
}

// WorkerLeft tells that the worker has said that it ends.
func (t *Manager) WorkerLeft(now time.Time, id string) {
	if t.worker != nil && t.worker.ID == id {
		t.workerGone(now, "worker left")
	}
}

// newWorker takes a worker that the agent does not know. Orders to another one name
// it, and are refused by this one.
func (t *Manager) newWorker(now time.Time, worker *Worker) {
	if t.worker != nil {
		t.workerGone(now, "another worker is here")
	}
	t.worker = worker
	t.pace = pace{}
	t.describe(worker)
	t.forgetLife()
}

// describe keeps what entries are told of the worker.
func (t *Manager) describe(worker *Worker) {
	t.info = &ccwire.WorkerInfo{
		Domain: worker.Domain, Service: worker.Service, Labels: worker.Labels, Capacity: worker.Capacity,
	}
}

// forgetLife drops what was known of an earlier life of the worker.
func (t *Manager) forgetLife() {
	t.numbers = map[ccwire.TaskRef]numberUsed{}
	t.clockAt = time.Time{}
	t.seen, t.acked, t.misses = 0, 0, 0
	t.surveyed, t.heard, t.looking, t.checking = false, false, false, false
	t.leaseEnd = time.Time{}
}

// reborn takes a new life of the same worker. Runs that the earlier life has listed
// ended with it. Orders that no list has shown may have reached the new life, which
// takes them for its own: the next look tells. A higher token keeps off those that
// are still on their way.
func (t *Manager) reborn(now time.Time, born time.Time) {
	t.token++
	t.forgetLife()
	worker := *t.worker
	worker.StartTime = born
	t.worker = &worker
	n := 0
	for _, r := range slices.Clone(t.order) {
		if r.listed {
			n++
			t.finish(now, r, ccwire.RunLost, "worker has a new life")
			continue
		}
		t.numbers[r.task] = numberUsed{number: r.number, at: now}
		if r.phase != phaseStarting {
			r.phase, r.settled, r.stopDue = phaseUnsure, now, time.Time{}
		}
	}
	t.out.Changes = append(t.out.Changes, Change{Message: "Worker lost.", Reason: "worker has a new life", Count: n})
	t.reportAll(now)
}

// workerGone ends all runs, since the worker that had them is no more.
func (t *Manager) workerGone(now time.Time, reason string) {
	n := len(t.runs)
	for _, r := range slices.Clone(t.order) {
		t.finish(now, r, ccwire.RunLost, reason)
	}
	t.worker = nil
	t.out.Changes = append(t.out.Changes, Change{Message: "Worker lost.", Reason: reason, Count: n})
	t.reportAll(now)
}
