package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax      = time.Second // hold_max_ms
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	workerCPU    = 16000 // In thousandths of a core.
)

// worker is a stand-in for a worker, as PROTOCOL.md describes it.
type worker struct {
	rig  *rig
	id   string
	zone string
	app  string // Where it accepts calls.
	beat string // Where its agent hears it.
	// onStart may take a start order away, to answer it never and carry it out later.
	onStart func(w *worker, body startBody) (withhold bool)

	mu       sync.Mutex
	life     int
	up       bool
	draining bool
	mute     bool // It carries out what it is told, and answers nothing.
	born     time.Time
	server   *http.Server
	sequence uint64
	token    uint64
	lease    time.Duration // On the worker's clock.
	runs     map[string]*activeRun
	highest  map[string]uint64 // The highest run of each task that was stopped or has ended.
	finished [][]any
	lastEnd  uint64
	changed  chan struct{}
}

type activeRun struct {
	run     uint64
	started time.Time
	work    time.Duration
	life    int
}

type startBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
}

func newWorker(r *rig, id, zone, app, beat string) *worker {
	w := &worker{rig: r, id: id, zone: zone, app: app, beat: beat}
	go w.tick()
	return w
}

// clock is the worker's steady clock. The lock is held.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// boot starts a new life of the worker. It holds and knows nothing of before.
func (w *worker) boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	listener, err := net.Listen("tcp", w.app)
	if err != nil {
		return err
	}
	w.life++
	w.up, w.draining, w.born = true, false, time.Now()
	w.sequence, w.token, w.lease, w.lastEnd = 0, 0, 0, 0
	w.runs, w.highest, w.finished, w.changed = map[string]*activeRun{}, map[string]uint64{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	w.rig.log("worker %s life %d up", w.id, w.life)
	go w.beats(w.life)
	return nil
}

// crash ends the worker at once, with all that runs there.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	_ = w.server.Close()
	for task, r := range w.runs {
		w.rig.ended(w, task, r, "crashed")
	}
	w.runs = map[string]*activeRun{}
	w.rig.log("worker %s life %d crashed", w.id, w.life)
}

func (w *worker) beats(life int) {
	client := &http.Client{Timeout: beatTimeout}
	for {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		w.sequence++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.rig.service, "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": workerCPU, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		request, _ := http.NewRequest(http.MethodPut, "http://"+w.beat+"/instances/"+w.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		pause := beatInterval
		if response, err := client.Do(request); err != nil {
			pause = 200 * time.Millisecond // The next node isn't called: nobody else calls a side machine there.
		} else {
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

// setMute makes the worker answer nothing, or answer again.
func (w *worker) setMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
	w.rig.log("worker %s mute: %v", w.id, mute)
}

// answer sends the answer to a call that was carried out, unless the worker is mute.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request, status int, body any) {
	w.mu.Lock()
	mute := w.mute
	w.mu.Unlock()
	if mute {
		<-r.Context().Done()
		return
	}
	answer(rw, status, body)
}

// enter takes the lock if the call is meant for this life.
func (w *worker) enter(rw http.ResponseWriter, r *http.Request, body any) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return false
	}
	w.mu.Lock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return false
	}
	return true
}

// fenced handles a token. The lock is held.
func (w *worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend handles deadline_ms, which never shortens a lease. The lock is held.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(time.Duration(deadline)*time.Millisecond, w.clock()+holdMax))
}

func (w *worker) reply(status int, reason string) (int, map[string]any) {
	body := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	return status, body
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var body startBody
	if !w.enter(rw, r, &body) {
		return
	}
	w.mu.Unlock()
	if w.onStart != nil && w.onStart(w, body) {
		<-r.Context().Done()
		return
	}
	status, reply := w.execute(body)
	w.answer(rw, r, status, reply)
}

// execute carries out a start order.
func (w *worker) execute(body startBody) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return http.StatusServiceUnavailable, nil
	}
	if w.fenced(body.Token) {
		w.rig.log("worker %s refuses %s run %d: fence", w.id, body.Task, body.Run)
		return w.reply(http.StatusConflict, "fence")
	}
	w.extend(body.Deadline)
	current := w.runs[body.Task]
	switch {
	case current != nil && current.run == body.Run:
		return w.reply(http.StatusOK, "")
	case body.Run <= w.highest[body.Task], current != nil && current.run > body.Run:
		return w.reply(http.StatusConflict, "old")
	case w.lease <= w.clock():
		return w.reply(http.StatusConflict, "late")
	}
	cpu := w.rig.cpuOf(body.Task)
	for task := range w.runs {
		cpu += w.rig.cpuOf(task)
	}
	if cpu > workerCPU {
		return w.reply(http.StatusConflict, "room")
	}
	run := &activeRun{run: body.Run, started: time.Now(), work: w.rig.workOf(body.Task), life: w.life}
	w.runs[body.Task] = run
	w.rig.started(w, body, run)
	return w.reply(http.StatusOK, "")
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var body startBody
	if !w.enter(rw, r, &body) {
		return
	}
	status, reply := w.reply(http.StatusOK, "")
	if w.fenced(body.Token) {
		status, reply = w.reply(http.StatusConflict, "fence")
	} else {
		w.highest[body.Task] = max(w.highest[body.Task], body.Run)
		if current := w.runs[body.Task]; current != nil && current.run == body.Run {
			w.end(body.Task, current, "stopped")
		}
	}
	w.mu.Unlock()
	w.answer(rw, r, status, reply)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Deadline int64  `json:"deadline_ms"`
		Token    uint64 `json:"fencing_token"`
		Seen     uint64 `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}
	if !w.enter(rw, r, &body) {
		return
	}
	if w.fenced(body.Token) {
		status, reply := w.reply(http.StatusConflict, "fence")
		w.mu.Unlock()
		w.answer(rw, r, status, reply)
		return
	}
	if body.Deadline > 0 {
		w.extend(body.Deadline)
	}
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= body.Seen {
		w.finished = w.finished[1:]
	}
	if body.Wait > 0 && len(w.finished) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for task, run := range w.runs {
		percent := min(99, int(100*time.Since(run.started)/run.work))
		running = append(running, []any{task, run.run, "", percent, 0})
	}
	finished := append([][]any{}, w.finished...)
	_, reply := w.reply(http.StatusOK, "")
	// Only what a worker says of itself and its lists of runs name its life.
	reply["born"] = w.born.UnixMilli()
	w.mu.Unlock()
	reply["running"], reply["finished"] = running, finished
	w.answer(rw, r, http.StatusOK, reply)
}

// end ends a run. The lock is held.
func (w *worker) end(task string, r *activeRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, task, r.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rig.ended(w, task, r, how)
}

// tick ends what is done and what has outlived the lease.
func (w *worker) tick() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if w.up {
			lapsed := w.clock() > w.lease
			for task, r := range w.runs {
				switch {
				case time.Since(r.started) >= r.work:
					w.end(task, r, "done")
				case lapsed:
					w.end(task, r, "lapsed")
				}
			}
		}
		w.mu.Unlock()
	}
}

// leave tells the agent that the worker ends, and ends it.
func (w *worker) leave() error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, fmt.Sprintf("http://%s/instances/%s", w.beat, w.id), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	w.crash()
	return nil
}
