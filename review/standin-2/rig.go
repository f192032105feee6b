// Command standin-2 runs the cases of review/6 to review/10: it starts the project's entries
// and agents as processes on loopback addresses, is their store, their workers and their
// clients, and judges what these have seen.
//
//	standin-2 CASE RECORD
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// seen is a run that a worker has begun.
type seen struct {
	worker     string
	task       string
	run        uint64
	life       int
	start, end time.Time // end is zero while it runs.
	how        string
}

// process is one of the project's programs.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	logs *os.File
	gone chan struct{}
}

// rig is a small deployment.
type rig struct {
	begin   time.Time
	dir     string
	program string
	trouble bool
	service string
	host    string
	prefix  string
	base    string // The first three numbers of all addresses.
	port    int
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	links   []*link // From each entry to the store.

	mu     sync.Mutex
	record *os.File
	runs   []*seen
	active map[*activeRun]*seen
	work   map[string]time.Duration // Of the tasks of a job.
	cpu    map[string]int           // The same.
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

// newRig finds free addresses, and starts the store with a configuration of one route.
func newRig(record string) *rig {
	program, err := filepath.Abs("target/camphorcroft")
	if err != nil {
		fail("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		fail("the program is not built: %v", err)
	}
	file, err := os.Create(record)
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	r := &rig{
		begin: time.Now(), dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", service: "typing", host: "desk.example", prefix: "/proof/",
		base: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), record: file, active: map[*activeRun]*seen{}, work: map[string]time.Duration{}, cpu: map[string]int{},
	}
	// Whoever stops this program leaves nothing behind.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		r.finish(2, "stopped by a signal")
	}()
	r.port = r.freePorts()
	if r.store, err = newStore(r.addr(2, 6)); err != nil {
		r.finish(2, err.Error())
	}
	r.configure(1)
	return r
}

// configure writes the operator's configuration.
func (r *rig) configure(version int) {
	r.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "proof", "host": r.host, "prefix": r.prefix, "kind": "unsafe", "timeout_ms": 10000, "target_duration_ms": 60, "priority": 1,
			"service": r.service, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": r.service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// freePorts returns the first of eight ports that are free at this rig's addresses.
func (r *rig) freePorts() int {
	for range 100 {
		port := 20000 + 8*rand.IntN(4000)
		free := true
		for i := range 8 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", r.base, port+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	r.finish(2, "no free ports")
	return 0
}

// addr returns an address: the host's number and one of the eight ports, which are 0 for
// sessions, 1 for metrics, 2 front, 3 readiness, 4 control, 5 the worker, 6 the store and 7 a link to
// it.
func (r *rig) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", r.base, host, r.port+port) }

// name numbers the machines of a class in each zone from 1.
func (r *rig) name(class, zone string, others []*process) string {
	prefix := class + "-" + zone + "-"
	n := 1
	for _, p := range others {
		if strings.HasPrefix(p.name, prefix) {
			n++
		}
	}
	return prefix + fmt.Sprint(n)
}

// addEntry starts an entry with the settings that deploy/entry.yaml makes. It reaches the store
// through a link that can be cut.
func (r *rig) addEntry(zone string) *process {
	host := 10 + len(r.entries)
	l, err := newLink(r.addr(host, 7), r.addr(2, 6))
	if err != nil {
		r.finish(2, "link: "+err.Error())
	}
	r.links = append(r.links, l)
	name := r.name("front", zone, r.entries)
	settings := fmt.Sprintf("node: %s\ndomain: %s\nlisten: %s\nhttp: %s\nstore: %s\nplatform:\n  metrics: %s\n  readiness: %s\n  awayFactor: 1.5\n",
		name, zone, r.addr(host, 0), r.addr(host, 2), r.addr(host, 7), r.addr(host, 1), r.addr(host, 3))
	p := r.addProcess(name, "entry", settings)
	r.entries = append(r.entries, p)
	return p
}

// addAgent starts a worker and its agent with the settings that deploy/agent.yaml makes.
func (r *rig) addAgent(zone string) (*process, *worker) {
	host := 50 + len(r.agents)
	name := r.name("side", zone, r.agents)
	seeds := ""
	for i := range min(3, len(r.entries)) {
		seeds += "    - " + r.addr(10+i, 4) + "\n"
	}
	settings := fmt.Sprintf("node: %s\ndomain: %s\nlisten: %s\nhttp: %s\nstore: %s\nplatform:\n  heartbeats: %s\n  worker: %s\n  seeds:\n%s",
		name, zone, r.addr(host, 0), r.addr(host, 1), r.addr(2, 6), r.addr(host, 4), r.addr(host, 5), seeds)
	w := newWorker(r, fmt.Sprintf("i-%08x", rand.Uint32()), zone, r.addr(host, 5), r.addr(host, 4))
	if err := w.boot(); err != nil {
		r.finish(2, "worker: "+err.Error())
	}
	r.workers = append(r.workers, w)
	p := r.addProcess(name, "agent", settings)
	r.agents = append(r.agents, p)
	return p, w
}

func (r *rig) addProcess(name, role, settings string) *process {
	path := filepath.Join(r.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		r.finish(2, err.Error())
	}
	p := &process{name: name, args: []string{role, "--config", path}}
	r.run(p)
	return p
}

// run starts a process, also again after it has ended.
func (r *rig) run(p *process) {
	logs, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.finish(2, err.Error())
	}
	p.logs = logs
	p.cmd = exec.Command(r.program, p.args...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "CAMPHORCROFT_SETTINGS=" + p.args[2]}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	// Should this program be killed, its children end with it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.finish(2, err.Error())
	}
	p.gone = make(chan struct{})
	gone, cmd := p.gone, p.cmd
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	r.log("process %s started", p.name)
}

func (r *rig) signal(p *process, s syscall.Signal) {
	r.log("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// ready waits until each entry says that it is ready and sees all workers.
func (r *rig) ready() {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for i := range r.entries {
		for {
			if time.Now().After(deadline) {
				r.finish(2, "the deployment does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
			response, err := client.Get("http://" + r.addr(10+i, 1) + "/debug/vars")
			if err != nil {
				continue
			}
			vars := map[string]any{}
			_ = json.NewDecoder(response.Body).Decode(&vars)
			_ = response.Body.Close()
			if fmt.Sprint(vars["agentsUsable"]) == fmt.Sprint(len(r.agents)) {
				break
			}
		}
	}
	r.log("ready")
}

// reply is what a client has got.
type reply struct {
	status int // Zero is no answer.
	body   string
	sent   time.Time
	at     time.Time
}

// request sends one request of a client to an entry, on a channel of its own.
func (r *rig) request(ctx context.Context, method string, entry int, path string, timeout time.Duration, body any) reply {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+r.addr(10+entry, 2)+path, bytes.NewReader(data))
	request.Host = r.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	out := reply{sent: time.Now()}
	r.log("client sends %s %s to %s", method, path, r.entries[entry].name)
	response, err := client.Do(request)
	out.at = time.Now()
	if err != nil {
		r.log("client gets no answer to %s %s: %v", method, path, err)
		return out
	}
	defer func() { _ = response.Body.Close() }()
	text := new(bytes.Buffer)
	_, _ = text.ReadFrom(response.Body)
	out.status, out.body = response.StatusCode, strings.TrimSpace(text.String())
	r.log("client gets %d %s to %s %s", out.status, out.body, method, path)
	return out
}

// newID returns the ID of a job whose tasks take work on cpu thousandths of a core each.
func (r *rig) newID(work time.Duration, cpu int) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[id], r.cpu[id] = work, cpu
	return id
}

// job is the body of a job that needn't be stored.
func job(tasks, cpu int, estimate time.Duration) map[string]any {
	return map[string]any{"spec": "notice", "best_effort": true, "steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimated_ms": estimate.Milliseconds()}}}
}

func (r *rig) workOf(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work[strings.SplitN(task, ".", 2)[0]]
}

func (r *rig) cpuOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cpu[strings.SplitN(task, ".", 2)[0]]
}

func (r *rig) started(w *worker, body startBody, run *activeRun) {
	r.mu.Lock()
	s := &seen{worker: w.id, task: body.Task, run: body.Run, life: run.life, start: run.started}
	r.runs = append(r.runs, s)
	r.active[run] = s
	r.mu.Unlock()
	r.log("worker %s life %d starts %s run %d", w.id, run.life, body.Task, body.Run)
}

func (r *rig) ended(w *worker, task string, run *activeRun, how string) {
	r.mu.Lock()
	if s := r.active[run]; s != nil {
		s.end, s.how = time.Now(), how
	}
	delete(r.active, run)
	r.mu.Unlock()
	r.log("worker %s life %d ends %s run %d: %s", w.id, run.life, task, run.run, how)
}

// begun returns the runs of a job that have begun so far.
func (r *rig) begun(id string) []seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []seen
	for _, s := range r.runs {
		if strings.HasPrefix(s.task, id+".") {
			runs = append(runs, *s)
		}
	}
	return runs
}

// log writes a line of the record, with the time since the start in milliseconds.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		_, _ = fmt.Fprintf(r.record, "%9.1f  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, args...))
	}
}

// finish ends all processes and exits with the verdict.
func (r *rig) finish(verdict int, text string) {
	r.log("verdict %d: %s", verdict, text)
	for _, p := range append(append([]*process{}, r.entries...), r.agents...) {
		if p.cmd == nil || p.cmd.Process == nil || p.gone == nil {
			continue // It was not started.
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		<-p.gone
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
	fmt.Println(text)
	os.Exit(verdict)
}

// watchReadiness asks an entry once a second whether it is ready, as the platform does, and
// returns whether it is in rotation.
func (r *rig) watchReadiness(ctx context.Context, entry int) func() bool {
	var mu sync.Mutex
	misses := 0
	go func() {
		client := &http.Client{Timeout: time.Second}
		for ctx.Err() == nil {
			response, err := client.Get("http://" + r.addr(10+entry, 3) + "/readiness")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			mu.Lock()
			if misses++; ready {
				misses = 0
			}
			mu.Unlock()
			time.Sleep(time.Second)
		}
	}()
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return misses < 2
	}
}
