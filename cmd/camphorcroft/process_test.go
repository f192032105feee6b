package main

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// summary counts outcomes by what they say.
func summary(outcomes map[string]outcome) map[string]int {
	counts := make(map[string]int)
	for _, got := range outcomes {
		switch {
		case got.err != nil:
			counts["cut"]++
		case got.State == "complete":
			counts["complete"]++
		case got.NotRun:
			counts["notRun "+got.Kind]++
		default:
			counts[got.State+" "+got.Kind]++
		}
	}
	return counts
}

func TestLargeJob(t *testing.T) {
	f := startFleet(t, 4, 2)
	jobs := newJobs(1)
	got := f.submit("entry-0", jobs[0], 1500, 5, 30*time.Second)
	f.assertWhole(got, jobs[0], 1500)
	f.assertOnce(map[string]outcome{jobs[0]: got})
}

// TestTermCutsNothing stops an entry and an agent by SIGTERM under load, with
// clients that follow the balancer's question and so leave an unready entry.
func TestTermCutsNothing(t *testing.T) {
	f := startFleet(t, 4, 2)
	outcomes := make(map[string]outcome)
	var mu sync.Mutex
	var group sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				entry := []string{"entry-0", "entry-1"}[n%2]
				if !f.ready(entry) {
					continue
				}
				job := newJobs(1)[0]
				got := f.submit(entry, job, 20, 100, 10*time.Second)
				mu.Lock()
				outcomes[job] = got
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	f.signal("entry-0", syscall.SIGTERM)
	time.Sleep(time.Second)
	f.signal("agent-1", syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	t.Logf("outcomes: %v", summary(outcomes))
	for job, got := range outcomes {
		if got.err != nil || got.State != "complete" {
			t.Errorf("job %s: error %v, %s %s %s", job, got.err, got.State, got.Kind, got.Reason)
		}
	}
	f.assertOnce(outcomes)
}

func (f *fleet) ready(entry string) bool {
	response, err := f.client.Get("http://" + f.entries[entry].String() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// TestKillEntry kills an entry with 200 jobs in flight and submits all of them
// again at the others.
func TestKillEntry(t *testing.T) {
	f := startFleet(t, 8, 3)
	time.Sleep(5 * time.Second) // The agents' memory must be older than the jobs.
	jobs := newJobs(200)
	var first map[string]outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		first = f.submitAll(jobs, []string{"entry-0"}, 5, 300, 20*time.Second)
	}()
	time.Sleep(1500 * time.Millisecond)
	f.kill("entry-0")
	<-done
	t.Logf("at the entry that was killed: %v", summary(first))
	second := f.submitAll(jobs, []string{"entry-1", "entry-2"}, 5, 300, 20*time.Second)
	t.Logf("submitted again: %v", summary(second))
	f.assertAnswered(second, 5)
	f.assertOnce(second)
}

// assertAnswered checks that every client got an answer, and whole ones are
// whole.
func (f *fleet) assertAnswered(outcomes map[string]outcome, tasks int) {
	f.t.Helper()
	for job, got := range outcomes {
		switch {
		case got.err != nil:
			f.t.Errorf("job %s got no answer: %v", job, got.err)
		case got.State == "complete":
			f.assertWhole(got, job, tasks)
		case got.State == "":
			f.t.Errorf("job %s: status %d without a state", job, got.status)
		}
	}
}

func TestKillAgent(t *testing.T) {
	f := startFleet(t, 8, 2)
	jobs := newJobs(100)
	var outcomes map[string]outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		outcomes = f.submitAll(jobs, []string{"entry-0", "entry-1"}, 10, 300, 15*time.Second)
	}()
	time.Sleep(1200 * time.Millisecond)
	killed := time.Now()
	f.kill("agent-3")
	<-done
	t.Logf("outcomes: %v", summary(outcomes))
	f.assertAnswered(outcomes, 10)
	f.assertOnce(outcomes)
	running := f.runningAt("agent-3", killed, 75*time.Millisecond) // Its speed is 4.
	for job, got := range outcomes {
		if got.State != "complete" && !running[job] {
			t.Errorf("job %s failed with no task running at the agent that was killed: %s", job, got.Reason)
		}
	}
}

// TestPause stops an agent and an entry for 10 s with SIGSTOP, under load, and
// submits the entry's jobs again elsewhere meanwhile.
func TestPause(t *testing.T) {
	f := startFleet(t, 8, 3)
	time.Sleep(5 * time.Second)
	jobs := newJobs(150)
	var first map[string]outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		first = f.submitAll(jobs, []string{"entry-0", "entry-1", "entry-2"}, 8, 400, 12*time.Second)
	}()
	time.Sleep(time.Second)
	f.signal("agent-2", syscall.SIGSTOP)
	f.signal("entry-0", syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	second := make(chan map[string]outcome)
	go func() { second <- f.submitAll(jobs, []string{"entry-1", "entry-2"}, 8, 400, 12*time.Second) }()
	time.Sleep(5 * time.Second)
	f.signal("agent-2", syscall.SIGCONT)
	f.signal("entry-0", syscall.SIGCONT)
	again := <-second
	<-done
	t.Logf("first: %v", summary(first))
	t.Logf("again: %v", summary(again))
	f.assertAnswered(again, 8)
	f.assertOnce(first)
	f.assertOnce(again)
}

// TestStoreOutage takes the store down for 30 s while jobs go on.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, 8, 3)
	time.Sleep(3 * time.Second)
	f.fault(`{"outage":true}`)
	outcomes := make(map[string]outcome)
	for range 30 {
		for job, got := range f.submitAll(newJobs(20), []string{"entry-0", "entry-1", "entry-2"}, 5, 200, 10*time.Second) {
			outcomes[job] = got
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.fault(`{"outage":false}`)
	time.Sleep(5 * time.Second)
	after := f.submitAll(newJobs(20), []string{"entry-0", "entry-1", "entry-2"}, 5, 200, 10*time.Second)
	t.Logf("during: %v", summary(outcomes))
	t.Logf("after: %v", summary(after))
	if got := summary(outcomes)["complete"]; got != len(outcomes) {
		t.Errorf("%d of %d jobs complete during the outage", got, len(outcomes))
	}
	if got := summary(after)["complete"]; got != len(after) {
		t.Errorf("%d of %d jobs complete after the outage", got, len(after))
	}
	f.assertOnce(outcomes)
	f.assertOnce(after)
}

// fault sets the stand-in store's switches.
func (f *fleet) fault(body string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+f.store.String()+"/faults", bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("faults: status %d", response.StatusCode)
	}
}

// TestSettingsErrors checks that settings which can't hold are refused with
// their file, line and key.
func TestSettingsErrors(t *testing.T) {
	f := startFleet(t, 1, 1)
	cases := map[string]struct{ text, want string }{
		"unknown key":    {"services:\n  proof:\n    slotz: 3\n", "slotz"},
		"unknown domain": {"services:\n  proof:\n    weights: {nowhere: 2}\n", "nowhere"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			file := f.dir + "/bad.yaml"
			f.write(file, c.text)
			code, errs := f.tryRun("settings", "propose", "--store", f.store.String(), "--section", "team-a", file)
			if code == 0 || !strings.Contains(errs, "bad.yaml") || !strings.Contains(errs, c.want) {
				t.Fatalf("exit code %d, error %q", code, errs)
			}
		})
	}
}

// TestDomainOut takes a failure domain out under load while the store is slow
// and the cell's lead is killed. By the targets' own logs nothing may start in
// the domain 3 s after the change was accepted.
func TestDomainOut(t *testing.T) {
	f := startFleet(t, 8, 3)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f.submit([]string{"entry-0", "entry-1", "entry-2"}[i%3], newJobs(1)[0], 6, 150, 10*time.Second)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	lead := f.lead()
	f.fault(`{"delay":"300ms"}`)
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		f.kill(lead)
	}()
	f.run("domain", "out", "--store", f.store.String(), "north")
	accepted := time.Now()
	<-killed
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	// Agents 0 and 4 are in the domain.
	last, after := f.startsAfter([]string{"agent-0", "agent-4"}, accepted)
	t.Logf("lead %s killed; %d starts in the domain after acceptance, the last %s after it", lead, after, last)
	if last > 3*time.Second {
		t.Errorf("a task started in the domain %s after it was taken out", last)
	}
	if _, elsewhere := f.startsAfter([]string{"agent-1", "agent-2", "agent-3", "agent-5", "agent-6", "agent-7"}, accepted.Add(3*time.Second)); elsewhere == 0 {
		t.Error("nothing started in the other domains")
	}
	f.assertOnce(nil)
}
