package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// maxCallDelay is how long after an unanswered call the worker may still execute
// it: the longest delay of the platform.
const maxCallDelay = 12 * time.Second

// pendingStart is a start call that a worker may still execute, until the given time.
type pendingStart struct {
	call  StartCall
	until time.Time
	// late is set once the start has got no answer, or its run has ended without one.
	late bool
}

// pendingStarts holds each start call from its sending until its answer, and without an
// answer until maxCallDelay has passed. It doesn't depend on what became of the run, of the
// worker or of the worker's incarnation: a start outlives them. Its zero value is empty.
type pendingStarts struct {
	starts     []pendingStart // In the order of their sending.
	lastNumber uint64
}

// add records a call that is about to be sent, and numbers it.
func (p *pendingStarts) add(now time.Time, call StartCall) StartCall {
	p.lastNumber++
	call.Number = p.lastNumber
	p.starts = append(p.starts, pendingStart{call: call, until: now.Add(maxCallDelay)})
	return call
}

// complete records the outcome of a call. An answer of any kind settles it: the worker has
// executed the call or refused it.
func (p *pendingStarts) complete(now time.Time, call StartCall, status Status) {
	p.starts = slices.DeleteFunc(p.starts, func(s pendingStart) bool { return s.call.Number == call.Number })
	if status == StatusNoResponse {
		p.starts = append(p.starts, pendingStart{call: call, until: now.Add(maxCallDelay), late: true})
	}
}

// abandon records that the run of a task has ended.
func (p *pendingStarts) abandon(task ccwire.TaskRef) {
	for i := range p.starts {
		p.starts[i].late = p.starts[i].late || p.starts[i].call.Task == task
	}
}

// prune discards the calls that can no longer be executed.
func (p *pendingStarts) prune(now time.Time) {
	p.starts = slices.DeleteFunc(p.starts, func(s pendingStart) bool { return !now.Before(s.until) })
}

// ofTask returns the start of a task with the highest token among those that may still be
// executed, by any worker.
func (p *pendingStarts) ofTask(now time.Time, task ccwire.TaskRef) (pendingStart, bool) {
	var highest pendingStart
	found := false
	for _, s := range p.starts {
		if s.call.Task == task && now.Before(s.until) && (!found || s.call.Token > highest.call.Token) {
			highest, found = s, true
		}
	}
	return highest, found
}

// at returns how many starts the worker with an ID may still execute, in any incarnation.
func (p *pendingStarts) at(now time.Time, worker string) int {
	n := 0
	for _, s := range p.starts {
		if s.call.Worker == worker && now.Before(s.until) {
			n++
		}
	}
	return n
}

// lateAt reports whether the worker with an ID may still execute a late start.
func (p *pendingStarts) lateAt(now time.Time, worker string) bool {
	return slices.ContainsFunc(p.starts, func(s pendingStart) bool { return s.late && s.call.Worker == worker && now.Before(s.until) })
}
