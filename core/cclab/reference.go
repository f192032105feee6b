package cclab

import (
	"slices"
	"time"

	"camphorcroft/core/ccreplay"
)

// Reference replays the arrivals of a result with exact knowledge of the run times and of the
// whole fleet, without latency, and returns what it serves. It starts tasks by list scheduling:
// strictly by priority, and only those of jobs that all end in time. Capacity that a job needs
// until its last start in time is kept for it. No task waits for another task of its own job, so
// a job needs as much capacity at once as it has tasks. Several orders within a priority are tried, and
// the best by value is returned.
func Reference(cfg Config, arrivals *Result) *Result {
	var best *Result
	for _, order := range []referenceOrder{orderDeadline, orderSmallest} {
		for _, late := range []bool{false, true} {
			result := newReference(cfg, arrivals, order, late).run()
			if best == nil || result.ValueCredit(nil) > best.ValueCredit(nil) {
				best = result
			}
		}
	}
	return best
}

// referenceOrder compares jobs of the same priority.
type referenceOrder func(a, b *Record) int

func orderDeadline(a, b *Record) int { return int(a.Sent + a.Objective - b.Sent - b.Objective) }

// orderSmallest puts the job first that earns the most value for its work.
func orderSmallest(a, b *Record) int {
	return int(time.Duration(a.Tasks)*a.Work - time.Duration(b.Tasks)*b.Work)
}

// reference is one replay.
type reference struct {
	cfg     Config
	order   referenceOrder
	late    bool // Start jobs that end late where no other job can start.
	fastest float64
	result  *Result
	workers []*referenceWorker // The slowest first.
	clock   clock
	start   time.Time
	queue   []*referenceJob
}

func newReference(cfg Config, arrivals *Result, order referenceOrder, late bool) *reference {
	r := &reference{cfg: cfg, order: order, late: late, result: &Result{}}
	for i := range cfg.Agents {
		w := &referenceWorker{number: i, speed: cfg.speed(i), free: cfg.capacity(i), rack: cfg.rackName(i)}
		r.workers, r.fastest = append(r.workers, w), max(r.fastest, w.speed)
	}
	slices.SortStableFunc(r.workers, func(a, b *referenceWorker) int { return int(1000 * (a.speed - b.speed)) })
	for _, arrival := range arrivals.Records {
		record := *arrival
		record.Outcome, record.Took, record.FirstOffer, record.Reason = ccreplay.StateRefused, 0, 0, ""
		r.result.Records = append(r.result.Records, &record)
		r.clock.after(record.Sent, func() {
			if !record.Crashes {
				r.enqueue(&referenceJob{Record: &record, waiting: record.Tasks})
				r.schedule()
			}
		})
	}
	for _, l := range cfg.Losses {
		r.clock.after(l.At+l.For, r.schedule)
	}
	return r
}

func (r *reference) run() *Result {
	r.clock.runUntil(r.start.Add(r.cfg.Duration + followTime))
	return r.result
}

func (r *reference) now() time.Duration { return r.clock.now.Sub(r.start) }

func (r *reference) enqueue(j *referenceJob) {
	at, _ := slices.BinarySearchFunc(r.queue, j, func(a, b *referenceJob) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return r.order(a.Record, b.Record)
	})
	r.queue = slices.Insert(r.queue, at, j)
}

// schedule starts the tasks that can start now and gives up the jobs that can't be of use any
// more.
func (r *reference) schedule() {
	for _, w := range r.workers {
		w.unclaimed, w.claimedEnds = w.free, 0
	}
	for i := 0; i < len(r.queue); i++ {
		if j := r.queue[i]; j.earliestEnd(r.now(), r.fastest) > j.latestEnd(r.late) {
			r.giveUp(j)
			r.queue = slices.Delete(r.queue, i, i+1)
			i--
		}
	}
	for _, late := range []bool{false, true} {
		if late && !r.late {
			break
		}
		for _, j := range r.queue {
			if !r.anyFree() {
				break
			}
			if isLate := j.earliestEnd(r.now(), r.fastest) > j.latestEnd(false); isLate == late {
				r.place(j, j.latestEnd(late))
			}
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(j *referenceJob) bool { return j.waiting == 0 })
}

// anyFree reports whether any worker has room for a small task.
func (r *reference) anyFree() bool {
	return slices.ContainsFunc(r.workers, func(w *referenceWorker) bool { return w.unclaimed >= r.cfg.leastNeed() })
}

// giveUp stops the runs of a job.
func (r *reference) giveUp(j *referenceJob) {
	for _, run := range j.started {
		if !run.stopped && run.end > r.now() {
			r.end(run)
		}
	}
}

// place starts the tasks of a job that can start now, if all of its tasks can start early
// enough, and claims the capacity for the others.
func (r *reference) place(j *referenceJob, latest time.Duration) {
	now, left := r.now(), j.waiting
	claims := make([]claim, 0, len(r.workers))
	for _, future := range []bool{false, true} {
		for _, w := range r.workers {
			if left == 0 {
				break
			}
			took := r.duration(j, w)
			lastStart := j.Sent + latest - took
			if lastStart < now || r.down(w, now, lastStart+took) {
				continue
			}
			if !future {
				n := min(int(w.unclaimed/j.Need.CPU), left)
				if left -= n; n > 0 {
					claims = append(claims, claim{worker: w, now: n, took: took})
				}
				continue
			}
			c := w.claimEnds(j.Need.CPU, lastStart, left)
			if left -= c.later; c.later > 0 {
				claims = append(claims, c)
			}
		}
	}
	if left > 0 {
		return
	}
	for _, c := range claims {
		c.worker.unclaimed -= int64(c.now) * j.Need.CPU
		if c.later > 0 {
			c.worker.unclaimed, c.worker.claimedEnds = 0, c.ends
		}
		for range c.now {
			r.startTask(j, c.worker, c.took)
		}
	}
}

func (r *reference) duration(j *referenceJob, w *referenceWorker) time.Duration {
	return time.Duration(float64(j.Work) * r.cfg.awayFactor(j.Rack, w.rack) / w.speed)
}

// down reports whether the worker is away at any time of an interval.
func (r *reference) down(w *referenceWorker, from, to time.Duration) bool {
	return slices.ContainsFunc(r.cfg.Losses, func(l Loss) bool {
		return l.lost(w.number) && from < l.At+l.For && to > l.At
	})
}

func (r *reference) startTask(j *referenceJob, w *referenceWorker, took time.Duration) {
	if j.waiting--; j.FirstOffer == 0 {
		j.FirstOffer = max(r.now()-j.Sent, 1)
	}
	run := &referenceRun{worker: w, need: j.Need.CPU, end: r.now() + took}
	w.add(run)
	j.started = append(j.started, run)
	r.result.Busy += took
	j.Took = max(j.Took, run.end-j.Sent)
	if j.waiting == 0 {
		j.Outcome = ccreplay.StateComplete
	}
	r.clock.after(took, func() {
		if !run.stopped {
			r.end(run)
			r.schedule()
		}
	})
}

func (r *reference) end(run *referenceRun) {
	run.stopped = true
	run.worker.remove(run)
}
