package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"camphorcroft/io/cccli"
)

// processes turns the tests on that start a whole fleet of processes. They take
// minutes, and their times depend on the machine.
var processes = flag.Bool("processes", false, "run the tests that start processes")

// asProgram makes the test binary be the program itself, so that the tests need
// no separate build.
const asProgram = "CAMPHORCROFT_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settingsText = `services:
  proof:
    slots: 8
domains:
  north: {region: one}
  south: {region: one}
  east: {region: one}
  west: {region: one}
teams:
  desk: {share: 1}
`

// fleet is a store, targets, agents and entries, each a process.
type fleet struct {
	t       *testing.T
	dir     string
	store   netip.AddrPort
	running map[string]*exec.Cmd
	entries map[string]netip.AddrPort // HTTP addresses.
	targets map[string]netip.AddrPort
	agents  map[string]netip.AddrPort // HTTP addresses.
	client  *http.Client
}

func startFleet(t *testing.T, agents, entries int) *fleet {
	t.Helper()
	if !*processes {
		t.Skip("needs -processes")
	}
	f := &fleet{
		t: t, dir: t.TempDir(), store: freeAddr(t), running: make(map[string]*exec.Cmd),
		entries: make(map[string]netip.AddrPort), targets: make(map[string]netip.AddrPort), agents: make(map[string]netip.AddrPort),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(f.killAll)
	f.start("store", "standin", "store", "--listen", f.store.String())
	f.until("the store answers", func() bool { return dials(f.store) })
	settings := filepath.Join(f.dir, "chair.yaml")
	f.write(settings, settingsText)
	f.run("settings", "propose", "--store", f.store.String(), "--section", "chair", settings)
	domains := []string{"north", "south", "east", "west"}
	for i := range agents {
		f.startAgent(i, domains[i%len(domains)])
	}
	for i := range entries {
		f.startEntry(i, domains[i%len(domains)])
	}
	for name := range f.entries {
		f.until(name+" is ready with all agents", func() bool { return f.usable(name) == agents })
	}
	return f
}

func (f *fleet) startAgent(i int, domain string) {
	name := fmt.Sprint("agent-", i)
	f.targets[name] = freeAddr(f.t)
	f.agents[name] = freeAddr(f.t)
	f.start("target-"+name, "standin", "target", "--listen", f.targets[name].String(), "--speed", strconv.Itoa(1+i%4))
	file := filepath.Join(f.dir, name+".yaml")
	f.write(file, fmt.Sprintf("node: %s\ndomain: %s\nlisten: %s\nhttp: %s\nstore: %s\nagent: {service: proof, target: %s}\n",
		name, domain, freeAddr(f.t), f.agents[name], f.store, f.targets[name]))
	f.start(name, "agent", "--config", file)
}

func (f *fleet) startEntry(i int, domain string) {
	name := fmt.Sprint("entry-", i)
	f.entries[name] = freeAddr(f.t)
	file := filepath.Join(f.dir, name+".yaml")
	f.write(file, fmt.Sprintf("node: %s\ndomain: %s\nlisten: %s\nhttp: %s\nstore: %s\n", name, domain, freeAddr(f.t), f.entries[name], f.store))
	f.start(name, "entry", "--config", file)
}

func (f *fleet) write(file, text string) {
	f.t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(name string, args ...string) {
	f.t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	// No process outlives a test that ends by a crash.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.running[name] = cmd
}

// run runs a command that must succeed.
func (f *fleet) run(args ...string) {
	f.t.Helper()
	if code, errs := f.tryRun(args...); code != cccli.ExitOK {
		f.t.Fatalf("%v ended with %d: %s", args, code, errs)
	}
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	if err := f.running[name].Process.Signal(signal); err != nil {
		f.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill ends a process at once and waits for its end.
func (f *fleet) kill(name string) {
	cmd := f.running[name]
	delete(f.running, name)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

func (f *fleet) killAll() {
	for name := range f.running {
		f.kill(name)
	}
	if f.t.Failed() {
		logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
		for _, log := range logs {
			data, _ := os.ReadFile(log)
			f.t.Logf("%s:\n%s", filepath.Base(log), data[max(0, len(data)-3000):])
		}
	}
}

// until waits for a condition; the bound is far above what it takes.
func (f *fleet) until(what string, condition func() bool) {
	f.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("waited in vain until %s", what)
}

// usable returns how many agents an entry can use.
func (f *fleet) usable(entry string) int {
	var vars struct {
		Entry struct {
			Agents []struct{ Up, Leaving, Silent bool }
		}
	}
	if f.getJSON("http://"+f.entries[entry].String()+"/debug/vars", &vars) != nil {
		return 0
	}
	if response, err := f.client.Get("http://" + f.entries[entry].String() + "/readyz"); err != nil {
		return 0
	} else if _ = response.Body.Close(); response.StatusCode != http.StatusOK {
		return 0
	}
	n := 0
	for _, agent := range vars.Entry.Agents {
		if agent.Up && !agent.Leaving && !agent.Silent {
			n++
		}
	}
	return n
}

func (f *fleet) getJSON(url string, into any) error {
	response, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// outcome is the answer to a submission.
type outcome struct {
	status  int
	err     error
	JobID   string
	State   string
	NotRun  bool
	Kind    string
	Reason  string
	Answers []struct {
		Index   int
		Payload string
	}
}

// submit posts a job of tasks that run for runMS at speed 1 and answer with
// their own number.
func (f *fleet) submit(entry, job string, tasks, runMS int, deadline time.Duration) outcome {
	type taskBody struct {
		Payload string `json:"payload"`
	}
	body := struct {
		JobID    string     `json:"jobID"`
		Team     string     `json:"team"`
		Deadline string     `json:"deadline"`
		Tasks    []taskBody `json:"tasks"`
	}{JobID: job, Team: "desk", Deadline: deadline.String()}
	for i := range tasks {
		body.Tasks = append(body.Tasks, taskBody{Payload: fmt.Sprintf(`{"runMS":%d,"echo":"%s/%d"}`, runMS, job, i)})
	}
	data, _ := json.Marshal(body)
	response, err := f.client.Post("http://"+f.entries[entry].String()+"/v1/services/proof/jobs", "application/json", bytes.NewReader(data))
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := outcome{status: response.StatusCode}
	if data, err = io.ReadAll(response.Body); err != nil {
		return outcome{err: err}
	}
	got.err = json.Unmarshal(data, &got)
	return got
}

// assertWhole checks that a complete job has each answer once, its own, in order.
func (f *fleet) assertWhole(got outcome, job string, tasks int) {
	f.t.Helper()
	if got.JobID != job || len(got.Answers) != tasks {
		f.t.Fatalf("job %s has %d answers of %d, for %s", job, len(got.Answers), tasks, got.JobID)
	}
	for i, answer := range got.Answers {
		if answer.Index != i || answer.Payload != fmt.Sprintf("%s/%d", job, i) {
			f.t.Fatalf("job %s: answer %d is %+v", job, i, answer)
		}
	}
}

// starts returns how often each key reached any target.
func (f *fleet) starts() map[string]int {
	f.t.Helper()
	keys := make(map[string]int)
	for name, addr := range f.targets {
		var log struct {
			Starts []struct{ Key string }
		}
		if err := f.getJSON("http://"+addr.String()+"/starts", &log); err != nil {
			f.t.Fatalf("starts of %s: %v", name, err)
		}
		for _, start := range log.Starts {
			keys[start.Key]++
		}
	}
	return keys
}

// runningAt returns the jobs with a task that an agent's target was running at a
// time, by the target's own log. A task takes run at speed 1, and its answer a
// moment more to reach the entry.
func (f *fleet) runningAt(agent string, at time.Time, run time.Duration) map[string]bool {
	f.t.Helper()
	const reported = 20 * time.Millisecond
	var log struct {
		Starts []struct {
			Key string
			At  time.Time
		}
	}
	if err := f.getJSON("http://"+f.targets[agent].String()+"/starts", &log); err != nil {
		f.t.Fatal(err)
	}
	jobs := make(map[string]bool)
	for _, start := range log.Starts {
		if start.At.Add(run + reported).After(at) {
			job, _, _ := strings.Cut(start.Key, "/")
			jobs[job] = true
		}
	}
	return jobs
}

// lead returns the agent that leads the cell.
func (f *fleet) lead() string {
	f.t.Helper()
	for name, addr := range f.agents {
		var vars struct{ CellLeads int }
		if f.getJSON("http://"+addr.String()+"/debug/vars", &vars) == nil && vars.CellLeads > 0 {
			return name
		}
	}
	f.t.Fatal("no agent leads the cell")
	return ""
}

// startsAfter counts the starts at the agents' targets after a time, and returns
// how long after it the last one was.
func (f *fleet) startsAfter(agents []string, after time.Time) (time.Duration, int) {
	f.t.Helper()
	last, count := time.Duration(0), 0
	for _, agent := range agents {
		var log struct{ Starts []struct{ At time.Time } }
		if err := f.getJSON("http://"+f.targets[agent].String()+"/starts", &log); err != nil {
			f.t.Fatal(err)
		}
		for _, start := range log.Starts {
			if start.At.After(after) {
				last, count = max(last, start.At.Sub(after)), count+1
			}
		}
	}
	return last, count
}

// assertOnce checks that no key started twice, and that no job that was said not
// to have run left a trace.
func (f *fleet) assertOnce(final map[string]outcome) {
	f.t.Helper()
	started := make(map[string]int)
	for key, n := range f.starts() {
		if n > 1 {
			f.t.Errorf("%s started %d times", key, n)
		}
		job, _, _ := strings.Cut(key, "/")
		started[job]++
	}
	for job, got := range final {
		if got.NotRun && started[job] > 0 {
			f.t.Errorf("job %s was said not to have run, and %d of its tasks started", job, started[job])
		}
	}
}

// submitAll submits jobs at once, spread over the entries, and returns the
// outcomes by job.
func (f *fleet) submitAll(jobs []string, entries []string, tasks, runMS int, deadline time.Duration) map[string]outcome {
	var mu sync.Mutex
	var group sync.WaitGroup
	outcomes := make(map[string]outcome, len(jobs))
	for i, job := range jobs {
		group.Go(func() {
			got := f.submit(entries[i%len(entries)], job, tasks, runMS, deadline)
			mu.Lock()
			defer mu.Unlock()
			outcomes[job] = got
		})
	}
	group.Wait()
	return outcomes
}

func newJobs(n int) []string {
	jobs := make([]string, n)
	for i := range jobs {
		jobs[i] = uuid.Must(uuid.NewV7()).String()
	}
	return jobs
}

// firstPort is below the ports that the system gives to connections, so that none
// takes a port before the process that it is meant for.
const firstPort = 10_000

// nextPort counts the ports that were given out.
var nextPort atomic.Uint32

// freeAddr returns an address that nobody listens on, on a loopback host of this
// test process alone.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)
	return netip.AddrPortFrom(netip.MustParseAddr(host), uint16(firstPort+nextPort.Add(1)))
}

func dials(addr netip.AddrPort) bool {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// tryRun runs a command that may fail, and returns its exit code and errors.
func (f *fleet) tryRun(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := cccli.Main(context.Background(), args, &out, &errs)
	return code, errs.String()
}
