package cclab

import (
	"slices"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// worker is a model worker that runs tasks under a lease and refuses what doesn't fit.
type worker struct {
	lab      *Lab
	id       string
	born     time.Time
	capacity ccresource.Amount
	speed    float64
	rack     string
	used     ccresource.Amount
	runs     []*workerRun
	ended    []cclease.EndedRun
	lastEnd  uint64
	// waiting is answered when a run ends.
	waiting func()
	// downUntil is when the worker is back after a crash.
	downUntil time.Time
}

type workerRun struct {
	task    ccwire.TaskRef
	number  uint64
	need    ccresource.Amount
	started time.Time
	end     time.Time
}

func (w *worker) response(status cclease.Status) cclease.Response {
	return cclease.Response{Status: status, Clock: w.lab.clock.now.Sub(w.born) + time.Second, StartTime: w.born}
}

func (w *worker) start(call cclease.StartCall) cclease.Response {
	if w.isDown() {
		return cclease.Response{Status: cclease.StatusConnRefused}
	}
	j := w.lab.jobs[call.Task.Job]
	if j == nil {
		return w.response(cclease.StatusInvalid)
	}
	j.record.offered(w.lab.clock.now.Sub(w.lab.start))
	if !j.need.Fits(w.capacity.Minus(w.used)) {
		return w.response(cclease.StatusNoCapacity)
	}
	now := w.lab.clock.now
	took := time.Duration(float64(j.work) * w.lab.cfg.awayFactor(j.record.Rack, w.rack) / w.speed)
	r := &workerRun{task: call.Task, number: call.Run, need: j.need, started: now, end: now.Add(took)}
	w.runs = append(w.runs, r)
	w.used = w.used.Plus(r.need)
	w.lab.busy += took
	w.lab.clock.after(took, func() { w.finish(r, ccwire.RunDone) })
	if j.crashes && call.Task.Index == 0 {
		w.lab.clock.after(crashDelay, func() {
			if slices.Contains(w.runs, r) {
				w.crash()
			}
		})
	}
	return w.response(cclease.StatusOK)
}

func (w *worker) isDown() bool { return w.lab.clock.now.Before(w.downUntil) }

// crash and crashFor end all runs. The worker is back after the downtime, with an empty state.
func (w *worker) crash() { w.crashFor(crashDowntime) }

func (w *worker) crashFor(downtime time.Duration) {
	if w.isDown() {
		return
	}
	w.lab.result.Crashes++
	for _, r := range w.runs {
		w.lab.wasted += w.lab.clock.now.Sub(r.started)
	}
	w.downUntil = w.lab.clock.now.Add(downtime)
	w.born, w.used, w.runs, w.ended, w.lastEnd = w.downUntil, ccresource.Amount{}, nil, nil, 0
	if waiting := w.waiting; waiting != nil {
		w.waiting = nil
		waiting()
	}
}

func (w *worker) stop(call cclease.StopCall) cclease.Response {
	for _, r := range w.runs {
		if r.task == call.Task && r.number == call.Run {
			w.lab.wasted += w.lab.clock.now.Sub(r.started)
			w.finish(r, ccwire.RunStopped)
			break
		}
	}
	return w.response(cclease.StatusOK)
}

// finish ends a run, unless it has ended.
func (w *worker) finish(r *workerRun, outcome ccwire.RunOutcome) {
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, at, at+1)
	w.used = w.used.Minus(r.need)
	w.lastEnd++
	w.ended = append(w.ended, cclease.EndedRun{Number: w.lastEnd, Task: r.task, Run: r.number, End: outcome})
	if waiting := w.waiting; waiting != nil {
		w.waiting = nil
		waiting()
	}
}

// poll answers a poll at once if an end is listed, and otherwise when a run ends or the
// call's wait is over.
func (w *worker) poll(call cclease.PollCall, done func(cclease.PollResponse)) {
	w.ended = slices.DeleteFunc(w.ended, func(e cclease.EndedRun) bool { return e.Number <= call.Ack })
	answered := false
	answer := func() {
		if !answered {
			answered = true
			done(w.list())
		}
	}
	if len(w.ended) > 0 || call.Wait == 0 || w.isDown() {
		answer()
		return
	}
	w.waiting = answer
	w.lab.clock.after(call.Wait, answer)
}

func (w *worker) list() cclease.PollResponse {
	if w.isDown() {
		return cclease.PollResponse{Response: cclease.Response{Status: cclease.StatusConnRefused}}
	}
	response := cclease.PollResponse{Response: w.response(cclease.StatusOK), Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		percent := int(100 * w.lab.clock.now.Sub(r.started) / max(r.end.Sub(r.started), 1))
		response.Running = append(response.Running, cclease.ActiveRun{Task: r.task, Run: r.number, Percent: min(percent, 99)})
	}
	return response
}
