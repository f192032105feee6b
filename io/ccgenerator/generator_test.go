package ccgenerator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
)

// fakeEntry answers each job with what answer makes of its payloads.
type fakeEntry struct {
	answer func(payloads []string) []ccjob.Answer
	hold   bool // Answer nothing until the client leaves.

	mu        sync.Mutex
	submitted map[string]int
	canceled  int
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodDelete {
		f.canceled++
		_, _ = w.Write([]byte(`{"state":"failed"}`))
		return
	}
	var job struct {
		JobID string
		Tasks []struct{ Payload string }
	}
	_ = json.NewDecoder(r.Body).Decode(&job)
	f.submitted[job.JobID]++
	if f.hold {
		<-r.Context().Done()
		return
	}
	var payloads []string
	for _, task := range job.Tasks {
		payloads = append(payloads, task.Payload)
	}
	_ = json.NewEncoder(w).Encode(ccjob.Complete(ccjob.ID(job.JobID), f.answer(payloads)))
}

// echoes answers as targets do.
func echoes(payloads []string) []ccjob.Answer {
	var answers []ccjob.Answer
	for index, payload := range payloads {
		var task struct{ Echo string }
		_ = json.Unmarshal([]byte(payload), &task)
		answers = append(answers, ccjob.Answer{Index: index, Payload: task.Echo})
	}
	return answers
}

func run(t *testing.T, entry *fakeEntry, arrivals ...ccload.Arrival) []ccload.Result {
	t.Helper()
	entry.submitted = make(map[string]int)
	server := httptest.NewServer(entry)
	defer server.Close()
	for number := range arrivals {
		arrivals[number].Number = number
		arrivals[number].Service = "s"
		arrivals[number].Team = "t"
		arrivals[number].Deadline = 10 * time.Second
		arrivals[number].Tasks = []time.Duration{time.Millisecond, time.Millisecond}
	}
	generator := New(Config{
		Plan:    &ccload.Plan{Arrivals: arrivals},
		Entries: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
	})
	return generator.Run(context.Background()).Results
}

func assertComplete(t *testing.T, result ccload.Result, wrong bool) {
	t.Helper()
	if result.State != ccjob.StateComplete || result.Wrong != wrong || !result.Answered {
		t.Errorf("result is %+v, want a complete job, wrong %v", result, wrong)
	}
}

func TestGenerator(t *testing.T) {
	t.Run("recordsWholeAnswers", func(t *testing.T) {
		results := run(t, &fakeEntry{answer: echoes}, ccload.Arrival{}, ccload.Arrival{At: time.Millisecond})
		if len(results) != 2 {
			t.Fatalf("there are %d results, want 2", len(results))
		}
		assertComplete(t, results[0], false)
		assertComplete(t, results[1], false)
	})
	t.Run("seesPartialAnswers", func(t *testing.T) {
		partial := func(payloads []string) []ccjob.Answer { return echoes(payloads)[:1] }
		assertComplete(t, run(t, &fakeEntry{answer: partial}, ccload.Arrival{})[0], true)
	})
	t.Run("seesCrossedAnswers", func(t *testing.T) {
		crossed := func(payloads []string) []ccjob.Answer { return echoes([]string{payloads[1], payloads[0]}) }
		assertComplete(t, run(t, &fakeEntry{answer: crossed}, ccload.Arrival{})[0], true)
	})
	t.Run("resubmitsTheSameJob", func(t *testing.T) {
		entry := &fakeEntry{answer: echoes}
		results := run(t, entry, ccload.Arrival{ResubmitAfter: time.Millisecond})
		assertComplete(t, results[0], false)
		if got := entry.submitted[string(results[0].JobID)]; got != 2 {
			t.Errorf("the job was submitted %d times, want 2", got)
		}
	})
	t.Run("leavesWithoutAnAnswer", func(t *testing.T) {
		result := run(t, &fakeEntry{hold: true}, ccload.Arrival{LeaveAfter: time.Millisecond})[0]
		if !result.Left || result.Answered {
			t.Errorf("result is %+v, want a client that left", result)
		}
	})
}

func TestAddSecond(t *testing.T) {
	first := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := first.Add(time.Second)
	for name, c := range map[string]struct {
		first, second bool // Whether the submission was answered as not run.
		wantNotRun    bool
		wantUntil     time.Time
	}{
		"bothPromise":       {true, true, true, time.Time{}},
		"theFirstPromises":  {true, false, false, first},
		"theSecondPromises": {false, true, false, later},
		"nonePromises":      {false, false, false, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			result := ccload.Result{JobID: "j", NotRun: c.first}
			second := answer{at: later, outcome: ccjob.Outcome{JobID: "j", State: ccjob.StateRefused, NotRun: c.second}}
			addSecond(&ccload.Arrival{}, &result, first, &second)
			if result.NotRun != c.wantNotRun || !result.NotRunUntil.Equal(c.wantUntil) || result.Wrong {
				t.Errorf("the result is %+v, want notRun %t until %s", result, c.wantNotRun, c.wantUntil)
			}
		})
	}
}
