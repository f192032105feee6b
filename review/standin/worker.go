package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = time.Second
	stopDuration      = 5 * time.Millisecond
)

// worker is a stand-in for a worker. What a task needs stands in its spec: the work in
// milliseconds and the processor in thousandths of a core.
type worker struct {
	id, service, zone, addr, heartbeats string
	labels                              []string
	cpu                                 int
	record                              *record
	born                                time.Time
	server                              *http.Server

	mu       sync.Mutex
	fence    uint64
	deadline time.Duration // The end of the lease on the worker's clock.
	runs     map[string]*workerRun
	closed   map[string]uint64 // The highest run of a task that was stopped or has ended.
	ends     []workerEnd
	lastEnd  uint64
	ended    chan struct{} // Closed at each end.
	history  []*workerRun
	stopped  chan struct{}

	// lateShare is the share of orders, starts and stops, that get no answer and are
	// carried out lateMin to lateMax later.
	lateShare float64
	dead      bool
}

const (
	lateMin = 2 * time.Second
	lateMax = 12 * time.Second
)

type workerRun struct {
	task       string
	number     uint64
	spec       string
	cpu        int
	work       time.Duration
	start, end time.Time // An end of zero is an active run.
	how        string
	worker     string
}

type workerEnd struct {
	number uint64
	run    *workerRun
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) serve(listener net.Listener) {
	w.mu.Lock()
	w.born, w.runs, w.closed = time.Now(), map[string]*workerRun{}, map[string]uint64{}
	w.ended, w.stopped = make(chan struct{}), make(chan struct{})
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.orLate(w.handleStart))
	mux.HandleFunc("POST /run-stop", w.orLate(w.handleStop))
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, struct{}{}) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(w.stopped)
	go w.watch(w.stopped)
}

// crash ends the worker with all that runs there.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	close(w.stopped)
	for _, r := range w.runs {
		w.end(r, "crashed")
	}
	w.mu.Unlock()
	_ = w.server.Close()
	w.record.add("%s crashes", w.id)
}

// restart starts the worker again under its ID. It holds and knows nothing of before.
func (w *worker) restart() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.dead, w.fence, w.deadline, w.ends, w.lastEnd = false, 0, 0, nil, 0
	w.mu.Unlock()
	w.serve(listener)
	w.record.add("%s is back", w.id)
	return nil
}

// beat sends the worker's pings.
func (w *worker) beat(stopped chan struct{}) {
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock().Milliseconds(),
			"sequence": sequence, "born": w.born.UnixMilli(),
		})
		request, _ := http.NewRequest(http.MethodPut, "http://"+w.heartbeats+"/instances/"+w.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		client := http.Client{Timeout: time.Second}
		wait := heartbeatInterval
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		} else {
			wait = 200 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-stopped:
			return
		}
	}
}

// watch ends runs whose work is done, and all runs when the lease is over.
func (w *worker) watch(stopped chan struct{}) {
	for {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-stopped:
			return
		}
		w.mu.Lock()
		for _, r := range w.runs {
			switch {
			case w.clock() >= w.deadline:
				w.end(r, "lapsed")
			case time.Since(r.start) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(r *workerRun, how string) {
	if !r.end.IsZero() {
		return
	}
	r.end, r.how = time.Now(), how
	delete(w.runs, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{number: w.lastEnd, run: r})
	close(w.ended)
	w.ended = make(chan struct{})
	w.record.add("%s: run %d of %s ends, %s", w.id, r.number, r.task, how)
}

// answer sends a response with the worker's clock and start.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	reply(rw, status, body)
}

type workerCall struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen uint64 `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// admit reads a call and checks what all calls have in common. The caller must hold mu if
// it returns true.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) (workerCall, bool) {
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return call, false
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return call, false
	}
	if instance := r.Header.Get("Expect-Instance"); instance != "" && instance != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		w.mu.Unlock()
		return call, false
	}
	if call.Token < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return call, false
	}
	w.fence = call.Token
	return call, true
}

func (w *worker) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax)
	w.deadline = max(w.deadline, deadline)
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.admit(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	refuse := func(reason string) { w.answer(rw, http.StatusConflict, map[string]any{"reason": reason}) }
	if active := w.runs[call.Task]; active != nil && active.number == call.Run {
		w.extend(call.Deadline)
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	if call.Run <= w.closed[call.Task] {
		w.extend(call.Deadline)
		refuse("old")
		return
	}
	if time.Duration(call.Deadline)*time.Millisecond <= w.clock() {
		refuse("late")
		return
	}
	run := &workerRun{task: call.Task, number: call.Run, spec: call.Spec, start: time.Now(), worker: w.id}
	var workMS int
	if _, err := fmt.Sscanf(call.Spec, "work %d cpu %d", &workMS, &run.cpu); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	run.work = time.Duration(workMS) * time.Millisecond
	used := run.cpu
	for _, other := range w.runs {
		used += other.cpu
	}
	w.extend(call.Deadline)
	if used > w.cpu {
		refuse("room")
		return
	}
	w.runs[call.Task] = run
	w.history = append(w.history, run)
	w.record.add("%s: run %d of %s starts", w.id, run.number, run.task)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.admit(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.closed[call.Task] = max(w.closed[call.Task], call.Run)
	if run := w.runs[call.Task]; run != nil && run.number == call.Run {
		time.AfterFunc(stopDuration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, "stopped")
		})
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.admit(rw, r)
	if !ok {
		return
	}
	if call.Deadline > 0 {
		w.extend(call.Deadline)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > call.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	if wait := min(call.Wait, 2000); len(w.ends) == 0 && wait > 0 {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := min(99, int(100*time.Since(run.start)/run.work))
		running = append(running, []any{run.task, run.number, "", percent, run.cpu})
	}
	for i, e := range w.ends {
		if i < 500 {
			finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
		}
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// runsOf returns copies of the runs of a job.
func (w *worker) runsOf(job string) []workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []workerRun
	for _, r := range w.history {
		if len(r.task) > len(job) && r.task[:len(job)] == job {
			runs = append(runs, *r)
		}
	}
	return runs
}

// setLate sets the share of orders that get no answer.
func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

// orLate carries an order out late, and leaves it unanswered, if its lot falls so.
func (w *worker) orLate(handle http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		late := rand.Float64() < w.lateShare
		w.mu.Unlock()
		if !late {
			handle(rw, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		delay := lateMin + rand.N(lateMax-lateMin)
		w.record.add("%s: %s gets no answer, and is carried out in %.1f s: %.60s", w.id, r.URL.Path, delay.Seconds(), body)
		copied := r.Clone(context.Background())
		time.AfterFunc(delay, func() {
			copied.Body = io.NopCloser(bytes.NewReader(body))
			handle(httptest.NewRecorder(), copied)
		})
		<-r.Context().Done()
	}
}
