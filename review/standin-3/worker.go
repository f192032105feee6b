package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// holdMax is hold_max_ms of the page: the longest lease.
const holdMax = time.Second

// heartbeatInterval is heartbeat_ms of the page.
const heartbeatInterval = 1500 * time.Millisecond

// spec is what a task does. Clients of a case know the specs of their jobs, and the worker finds
// them by the job's ID.
type spec struct {
	work  time.Duration
	cpu   int
	label string
}

// jobs are the jobs that the clients of a case have sent.
type jobs struct {
	mu   sync.Mutex
	byID map[string]spec
}

func (j *jobs) set(id string, s spec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[id] = s
}

func (j *jobs) of(task string) (spec, bool) {
	id, _, _ := strings.Cut(task, ".")
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.byID[id]
	return s, ok
}

// start is a task that a worker has begun.
type start struct {
	task   string
	run    uint64
	worker string
	labels []string
	at     time.Time
	// end is when the run ended, or zero.
	end time.Time
	how string
}

// starts are all starts of a case.
type starts struct {
	mu  sync.Mutex
	all []*start
}

func (s *starts) add(one *start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, one)
}

func (s *starts) list() []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []start
	for _, one := range s.all {
		all = append(all, *one)
	}
	return all
}

func (s *starts) finish(one *start, at time.Time, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one.end, one.how = at, how
}

// worker is a stand-in of a worker on a side machine. boot begins a life, and crash ends it.
type worker struct {
	id, service, zone string
	addr, control     string
	cpu               int
	rec               *record
	jobs              *jobs
	starts            *starts

	mu   sync.Mutex
	life *life
}

// life is what a worker holds and knows between a start and a crash.
type life struct {
	w        *worker
	labels   []string
	born     time.Time
	token    uint64
	deadline time.Duration // On the worker's clock.
	running  map[string]*running
	last     map[string]uint64 // The highest run that was stopped or has ended, by task.
	ended    []ended
	count    uint64
	changed  chan struct{}
	server   *http.Server
	cancel   context.CancelFunc
}

type running struct {
	start *start
	spec  spec
}

type ended struct {
	n    uint64
	task string
	run  uint64
	how  string
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// boot starts a life of a kind.
func (w *worker) boot(labels ...string) error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		w: w, labels: labels, born: time.Now(), running: map[string]*running{}, last: map[string]uint64{},
		changed: make(chan struct{}), cancel: cancel,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.runStart)
	mux.HandleFunc("POST /run-stop", l.runStop)
	mux.HandleFunc("POST /hold", l.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Instance-Id", w.id)
		reply(rw, http.StatusOK, struct{}{})
	})
	l.server = &http.Server{Handler: mux}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.rec.add("worker %s starts, labels %v, born %d", w.id, labels, l.born.UnixMilli())
	go func() { _ = l.server.Serve(listener) }()
	go l.tick(ctx)
	go l.beat(ctx)
	return nil
}

// crash ends the life at once. Its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.cancel()
	_ = l.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range l.running {
		w.starts.finish(r.start, time.Now(), "crashed")
	}
	l.running = map[string]*running{}
	w.rec.add("worker %s crashes", w.id)
}

// tick ends runs that are done, and all when the lease is over.
func (l *life) tick(ctx context.Context) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.w.mu.Lock()
		now := time.Now()
		for task, r := range l.running {
			switch {
			case l.clock() > l.deadline:
				l.finish(task, "lapsed")
			case now.Sub(r.start.at) >= r.spec.work:
				l.finish(task, "done")
			}
		}
		l.w.mu.Unlock()
	}
}

// finish ends a run. w.mu must be held.
func (l *life) finish(task, how string) {
	r := l.running[task]
	delete(l.running, task)
	l.count++
	l.last[task] = max(l.last[task], r.start.run)
	l.ended = append(l.ended, ended{l.count, task, r.start.run, how})
	l.w.starts.finish(r.start, time.Now(), how)
	l.w.rec.add("worker %s: run %d of %s ends: %s", l.w.id, r.start.run, task, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": l.w.service, "address": l.w.addr, "zone": l.w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": l.w.cpu, "mem_mb": 32768, "gpu": 0}, "labels": l.labels,
			"clock_ms": l.clock().Milliseconds(), "sequence": sequence, "born": l.born.UnixMilli(),
		})
		pause := heartbeatInterval
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+l.w.control+"/instances/"+l.w.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// begin checks what all calls have in common. It reports false if it has answered. w.mu must be
// held.
func (l *life) begin(rw http.ResponseWriter, r *http.Request, token uint64) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != l.w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return false
	}
	if token < l.token {
		l.refuse(rw, "fence")
		return false
	}
	l.token = token
	return true
}

func (l *life) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": l.clock().Milliseconds(), "reason": reason})
}

// extend renews the lease of all runs.
func (l *life) extend(ms int64) {
	end := min(time.Duration(ms)*time.Millisecond, l.clock()+holdMax)
	l.deadline = max(l.deadline, end)
}

func (l *life) runStart(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task     string `json:"task"`
		Run      uint64 `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	s, known := l.w.jobs.of(body.Task)
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if !l.begin(rw, r, body.Token) {
		return
	}
	if one := l.running[body.Task]; one != nil && one.start.run == body.Run {
		l.extend(body.Deadline)
		reply(rw, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds()})
		return
	}
	if time.Duration(body.Deadline)*time.Millisecond <= l.clock() {
		l.refuse(rw, "late")
		return
	}
	l.extend(body.Deadline)
	if body.Run <= l.last[body.Task] || l.running[body.Task] != nil {
		l.refuse(rw, "old")
		return
	}
	used := s.cpu
	for _, other := range l.running {
		used += other.spec.cpu
	}
	if used > l.w.cpu {
		l.refuse(rw, "room")
		return
	}
	one := &start{task: body.Task, run: body.Run, worker: l.w.id, labels: l.labels, at: time.Now()}
	l.running[body.Task] = &running{one, s}
	l.w.starts.add(one)
	l.w.rec.add("worker %s %v starts run %d of %s (known %t)", l.w.id, l.labels, body.Run, body.Task, known)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds()})
}

func (l *life) runStop(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   uint64 `json:"run"`
		Token uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if !l.begin(rw, r, body.Token) {
		return
	}
	l.last[body.Task] = max(l.last[body.Task], body.Run)
	if one := l.running[body.Task]; one != nil && one.start.run <= body.Run {
		l.finish(body.Task, "stopped")
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds()})
}

func (l *life) hold(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
		Seen     uint64 `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	end := time.After(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if !l.begin(rw, r, body.Token) {
		return
	}
	if body.Deadline > 0 {
		l.extend(body.Deadline)
	}
	kept := l.ended[:0]
	for _, e := range l.ended {
		if e.n > body.Seen {
			kept = append(kept, e)
		}
	}
	l.ended = kept
	for over := body.Wait == 0; len(l.ended) == 0 && !over; {
		changed := l.changed
		l.w.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			over = true
		}
		l.w.mu.Lock()
	}
	runs, ends := [][]any{}, [][]any{}
	for task, one := range l.running {
		percent := min(99, int(100*time.Since(one.start.at)/max(one.spec.work, 1)))
		runs = append(runs, []any{task, one.start.run, "", percent, one.spec.cpu})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": runs, "finished": ends})
}

func (s start) String() string {
	return fmt.Sprintf("run %d of %s on %s %v", s.run, s.task, s.worker, s.labels)
}
