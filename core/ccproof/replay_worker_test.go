package ccproof

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

// modelWorker is a worker as the platform's pages describe it.
type modelWorker struct {
	w      *replayWorld
	id     string
	born   time.Time
	beats  uint64
	token  uint64
	runs   map[ccwire.TaskRef]*modelRun
	closed map[ccwire.TaskRef]uint64 // The highest run stopped or ended.
	ended  []cclease.EndedRun
	number uint64
	until  time.Duration
}

type modelRun struct {
	number uint64
	left   time.Duration
	worked time.Time
	stop   time.Time // When a stop takes effect. Zero is none.
}

const modelCapacity = 4000

func newModelWorker(w *replayWorld, i int) *modelWorker {
	return &modelWorker{
		w: w, id: string(rune('a' + i)), born: w.start.Add(-time.Minute),
		runs: map[ccwire.TaskRef]*modelRun{}, closed: map[ccwire.TaskRef]uint64{},
	}
}

func (m *modelWorker) clock() time.Duration {
	return time.Duration(workerClockRate * float64(m.w.now.Sub(m.born)))
}

func (m *modelWorker) self() cclease.Worker {
	return cclease.Worker{
		ID: m.id, StartTime: m.born, Service: "s", Domain: "d0", Sequence: m.beats, Clock: m.clock(),
		Capacity: ccresource.Amount{CPU: modelCapacity},
	}
}

// answer is that to a start or a stop, which does not say which life it is.
func (m *modelWorker) answer(reply cclease.Status) cclease.Response {
	return cclease.Response{Status: reply, Clock: m.clock()}
}

// crash starts a new life under the same ID, which knows nothing.
func (m *modelWorker) crash() {
	m.w.note("worker %s: crashes", m.id)
	m.born, m.beats, m.token, m.until, m.number = m.w.now, 0, 0, 0, 0
	m.runs, m.closed, m.ended = map[ccwire.TaskRef]*modelRun{}, map[ccwire.TaskRef]uint64{}, nil
}

// fenced takes a call's token, and reports whether it is too low.
func (m *modelWorker) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

func (m *modelWorker) start(c cclease.StartCall) cclease.Response {
	m.work()
	if m.fenced(c.Token) {
		return m.answer(cclease.StatusFenced)
	}
	if r := m.runs[c.Task]; r != nil {
		if r.number == c.Run {
			return m.answer(cclease.StatusOK)
		}
		return m.answer(cclease.StatusStaleRun)
	}
	if c.LeaseEnd <= m.clock() {
		return m.answer(cclease.StatusLeaseExpired)
	}
	m.until = max(m.until, c.LeaseEnd)
	if c.Run <= m.closed[c.Task] {
		return m.answer(cclease.StatusStaleRun)
	}
	if len(m.runs) >= modelCapacity/1000 {
		return m.answer(cclease.StatusNoCapacity)
	}
	m.runs[c.Task] = &modelRun{number: c.Run, left: time.Duration(30+m.w.rng.IntN(700)) * time.Millisecond, worked: m.w.now}
	m.w.starts++
	m.w.note("worker %s: starts %v run %d", m.id, c.Task, c.Run)
	m.w.check()
	return m.answer(cclease.StatusOK)
}

func (m *modelWorker) stop(c cclease.StopCall) cclease.Response {
	m.work()
	if m.fenced(c.Token) {
		return m.answer(cclease.StatusFenced)
	}
	m.closed[c.Task] = max(m.closed[c.Task], c.Run)
	if r := m.runs[c.Task]; r != nil && r.number <= c.Run && r.stop.IsZero() {
		r.stop = m.w.now.Add(time.Duration(m.w.rng.IntN(50)) * time.Millisecond)
	}
	return m.answer(cclease.StatusOK)
}

func (m *modelWorker) look(c cclease.PollCall) cclease.PollResponse {
	m.work()
	if m.fenced(c.Token) {
		return cclease.PollResponse{Response: m.answer(cclease.StatusFenced)}
	}
	if c.LeaseEnd > m.clock() {
		m.until = max(m.until, c.LeaseEnd)
	}
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > c.Ack {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	return m.list(c)
}

func (m *modelWorker) list(cclease.PollCall) cclease.PollResponse {
	m.work()
	look := cclease.PollResponse{Response: m.answer(cclease.StatusOK)}
	look.StartTime = m.born
	for _, task := range m.tasks() {
		r := m.runs[task]
		look.Running = append(look.Running, cclease.ActiveRun{Task: task, Run: r.number, Percent: 50})
	}
	look.Ended = append(look.Ended, m.ended...)
	return look
}

// tasks returns the tasks that run, sorted, so that a seed repeats.
func (m *modelWorker) tasks() []ccwire.TaskRef {
	return slices.SortedFunc(maps.Keys(m.runs), func(a, b ccwire.TaskRef) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// work lets time pass at the worker.
func (m *modelWorker) work() {
	lapsed := m.clock() > m.until
	for _, task := range m.tasks() {
		r := m.runs[task]
		r.left -= m.w.now.Sub(r.worked)
		r.worked = m.w.now
		switch {
		case lapsed:
			m.end(task, r, ccwire.RunLost)
		case !r.stop.IsZero() && !m.w.now.Before(r.stop):
			m.end(task, r, ccwire.RunStopped)
		case r.left <= 0 && m.w.rng.IntN(30) == 0:
			m.end(task, r, ccwire.RunFailed)
		case r.left <= 0:
			m.end(task, r, ccwire.RunDone)
		}
	}
}

func (m *modelWorker) end(task ccwire.TaskRef, r *modelRun, how ccwire.RunOutcome) {
	delete(m.runs, task)
	m.w.note("worker %s: ends %v run %d %s", m.id, task, r.number, how)
	m.number++
	m.closed[task] = max(m.closed[task], r.number)
	m.ended = append(m.ended, cclease.EndedRun{Number: m.number, Task: task, Run: r.number, End: how})
}
