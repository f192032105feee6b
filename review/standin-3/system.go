package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; machines differ by their loopback address.
type ports struct{ listen, extra, front, control, readiness, app int }

// system is a small deployment: entries, agents with their workers, and the platform's store.
type system struct {
	program, dir string
	rec          *record
	ports        ports
	storeAddr    string
	store        *store
	jobs         *jobs
	starts       *starts
	mu           sync.Mutex
	processes    []*exec.Cmd
	stopped      bool
	// environment is added to that of the programs.
	environment []string
	// storeOf is the address by which an entry reaches the store, if it isn't the store's own.
	storeOf map[string]string
}

const (
	entryIP = "127.0.30.1"
	storeIP = "127.0.30.200"
	host    = "desk.example"
	prefix  = "/proofs/"
	service = "proofs"
	zone    = "north"
)

func agentIP(n int) string { return fmt.Sprintf("127.0.30.%d", 10+n) }

// newSystem starts the store with a configuration of one route.
func newSystem(program, dir string, rec *record, timeout time.Duration) (*system, error) {
	s := &system{
		program: program, dir: dir, rec: rec, store: newStore(),
		jobs: &jobs{byID: map[string]spec{}}, starts: &starts{}, storeOf: map[string]string{},
	}
	free, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	s.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	listener, err := net.Listen("tcp", storeIP+":0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store}).Serve(listener) }()
	s.config(7, timeout, 0)
	return s, nil
}

// config writes a configuration with the route of all cases and others beside it.
func (s *system) config(version int, timeout time.Duration, others int) {
	routes := []map[string]any{route("proofs", prefix, timeout)}
	for n := range others {
		routes = append(routes, route(fmt.Sprintf("r-%07d", n), otherPrefix(n), timeout))
	}
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": true, "spare": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func otherPrefix(n int) string { return fmt.Sprintf("/q%07d/", n) }

func route(name, prefix string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": timeout.Milliseconds(), "target_duration_ms": 60,
		"priority": 1, "service": service, "max_attempts": 3, "stretch": 1.6,
	}
}

// freePorts finds ports that are free on all loopback addresses.
func freePorts(n int) ([]int, error) {
	found := []int{}
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		found = append(found, listener.Addr().(*net.TCPAddr).Port)
	}
	return found, nil
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startEntry starts an entry with the deploy file's command and settings.
func (s *system) startEntry(ip string) (*exec.Cmd, error) {
	storeAddr := s.storeAddr
	if addr, ok := s.storeOf[ip]; ok {
		storeAddr = addr
	}
	return s.run("entry", "entry-"+ip, fmt.Sprintf(`node: entry-%[1]s
domain: %[2]s
listen: %[3]s
http: %[4]s
store: %[5]s
limits:
  memoryMB: 284
  maxDescriptors: 4100
platform:
  metrics: %[6]s
  readiness: %[7]s
  awayFactor: 1.5
  toleratedHosts: 1
  scheduling:
    minToleratedHosts: 2
    admission: true
    demandSummaries: true
    order: fair
    placement: endTime
`, ip, zone, at(ip, s.ports.listen), at(ip, s.ports.front), storeAddr, at(ip, s.ports.extra), at(ip, s.ports.readiness)))
}

// startAgent starts the agent of a worker.
func (s *system) startAgent(n int, seed string) (*exec.Cmd, *worker, error) {
	ip := agentIP(n)
	w := &worker{
		id: fmt.Sprintf("i-%04d", n), service: service, zone: zone, addr: at(ip, s.ports.app), control: at(ip, s.ports.control), cpu: 16000,
		rec: s.rec, jobs: s.jobs, starts: s.starts,
	}
	cmd, err := s.run("agent", "agent-"+ip, fmt.Sprintf(`node: agent-%[1]s
domain: %[2]s
listen: %[3]s
http: %[4]s
store: %[5]s
limits:
  memoryMB: 152
  maxDescriptors: 4096
platform:
  heartbeats: %[6]s
  worker: %[7]s
  seeds:
    - %[8]s
`, ip, zone, at(ip, s.ports.listen), at(ip, s.ports.extra), s.storeAddr, w.control, w.addr, at(seed, s.ports.control)))
	return cmd, w, err
}

func (s *system) run(role, name, settings string) (*exec.Cmd, error) {
	path := filepath.Join(s.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(s.program, role, "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), s.environment...)
	// The program ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, cmd)
	s.rec.add("%s starts, process %d", name, cmd.Process.Pid)
	return cmd, nil
}

// stop ends all programs.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for _, cmd := range s.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	for _, cmd := range s.processes {
		_ = cmd.Wait()
	}
}

// signal sends a signal to a process of the case.
func (s *system) signal(cmd *exec.Cmd, name string, signal syscall.Signal) {
	s.rec.add("%s gets %s", name, signal)
	_ = cmd.Process.Signal(signal)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))
}

// step is the one step of a job.
type step struct {
	count, cpu int
	estimated  time.Duration
	label      string
}

// client has connections of its own, like the platform's clients.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// post sends a job that needn't be kept and waits for its end.
func (s *system) post(ctx context.Context, c *http.Client, ip, id string, st step, limit time.Duration) answer {
	s.jobs.set(id, spec{work: st.estimated, cpu: st.cpu, label: st.label})
	fields := map[string]any{"count": st.count, "cpu": st.cpu, "mem_mb": 64, "estimated_ms": st.estimated.Milliseconds()}
	if st.label != "" {
		fields["requirements"] = st.label
	}
	body, err := json.Marshal(map[string]any{"spec": "text of " + id, "best_effort": true, "steps": []any{fields}})
	if err != nil {
		panic(err)
	}
	return s.call(ctx, c, http.MethodPost, ip, prefix+id, body, limit)
}

func (s *system) call(ctx context.Context, c *http.Client, method, ip, path string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at(ip, s.ports.front)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	s.rec.add("client sends %s %s %s", method, path, body)
	a := answer{}
	response, err := c.Do(request)
	if err != nil {
		a.err = err
	} else {
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		a = answer{response.StatusCode, string(data), err}
	}
	s.rec.add("client gets for %s %s: %s", method, path, a)
	return a
}

// ready waits until an entry says that it is ready.
func (s *system) ready(ip string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + at(ip, s.ports.readiness) + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry at %s isn't ready", ip)
}

// served waits until a job of one task with a label is served.
func (s *system) served(ctx context.Context, ip, label string, limit time.Duration) error {
	c := client()
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end); n++ {
		if a := s.post(ctx, c, ip, newID(), step{1, 1000, 50 * time.Millisecond, label}, 1500*time.Millisecond); a.status == http.StatusOK && strings.Contains(a.body, "completed") {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no job with label %q is served", label)
}
