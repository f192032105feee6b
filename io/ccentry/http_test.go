package ccentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
)

// reply is the one shape of all answers to a submission.
type reply struct {
	JobID   ccjob.ID
	State   ccjob.State
	Answers []ccjob.Answer
	NotRun  *bool
	Kind    ccjob.Kind
	Reason  string
}

func postTo(t *testing.T, entry *ccentry.Entry, path, body string) (int, reply) {
	t.Helper()
	response, err := http.Post("http://"+entry.HTTPAddr().String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got reply
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatalf("the answer is not JSON: %v", err)
	}
	return response.StatusCode, got
}

func assertRefused(t *testing.T, status int, got reply, wantStatus int, wantKind ccjob.Kind) {
	t.Helper()
	if status != wantStatus || got.Kind != wantKind || got.State != ccjob.StateRefused {
		t.Fatalf("got %d %s %s, want %d refused %s", status, got.State, got.Kind, wantStatus, wantKind)
	}
	if got.NotRun == nil || !*got.NotRun || got.Reason == "" {
		t.Fatalf("a refusal promises notRun and gives a reason, got %+v", got)
	}
}

func readyEntry(t *testing.T) *ccentry.Entry {
	t.Helper()
	entry := startEntry(t, cellStore(t, startInstantAgents(t, []ccnode.ID{"a", "b"}, 8)))
	awaitReady(t, http.DefaultClient, entry)
	return entry
}

func TestBadInput(t *testing.T) {
	entry := readyEntry(t)
	cases := map[string]struct {
		service, body string
		status        int
		kind          ccjob.Kind
	}{
		"unknown service":  {"none", string(jobBody("j", 1)), 404, ccjob.KindUnknownService},
		"no tasks":         {"s", string(jobBody("j", 0)), 400, ccjob.KindInvalid},
		"too many tasks":   {"s", string(jobBody("j", 1501)), 413, ccjob.KindTooLarge},
		"oversized body":   {"s", `{"jobID":"` + strings.Repeat("x", 33<<20) + `"}`, 413, ccjob.KindTooLarge},
		"oversized task":   {"s", `{"jobID":"j","team":"t","tasks":[{"payload":"` + strings.Repeat("x", 65<<10) + `"}]}`, 413, ccjob.KindTooLarge},
		"bad JSON":         {"s", `{"jobID":`, 400, ccjob.KindInvalid},
		"unknown key":      {"s", `{"jobID":"j","team":"t","task":[]}`, 400, ccjob.KindInvalid},
		"bad jobID":        {"s", `{"jobID":"a b","team":"t","tasks":[{"payload":"x"}]}`, 400, ccjob.KindInvalid},
		"no team":          {"s", `{"jobID":"j","tasks":[{"payload":"x"}]}`, 400, ccjob.KindInvalid},
		"bad deadline":     {"s", `{"jobID":"j","team":"t","deadline":"soon","tasks":[{"payload":"x"}]}`, 400, ccjob.KindInvalid},
		"deadline of zero": {"s", `{"jobID":"j","team":"t","deadline":"0s","tasks":[{"payload":"x"}]}`, 400, ccjob.KindInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, got := postTo(t, entry, "/v1/services/"+c.service+"/jobs", c.body)
			assertRefused(t, status, got, c.status, c.kind)
		})
	}
}

func TestWholeAnswerInOrder(t *testing.T) {
	entry := readyEntry(t)
	status, got := postTo(t, entry, "/v1/services/s/jobs", string(jobBody("j", 1500)))
	if status != http.StatusOK || got.State != ccjob.StateComplete || len(got.Answers) != 1500 {
		t.Fatalf("got %d %s with %d answers", status, got.State, len(got.Answers))
	}
	for i, answer := range got.Answers {
		if answer.Index != i || answer.Payload != fmt.Sprint("payload of task ", i) {
			t.Fatalf("answer %d is %+v", i, answer)
		}
	}
}

func TestSubmitAgain(t *testing.T) {
	entry := readyEntry(t)
	_, first := postTo(t, entry, "/v1/services/s/jobs", string(jobBody("j", 3)))
	t.Run("same content gets the same answer", func(t *testing.T) {
		status, again := postTo(t, entry, "/v1/services/s/jobs", string(jobBody("j", 3)))
		if status != http.StatusOK || fmt.Sprint(again.Answers) != fmt.Sprint(first.Answers) {
			t.Fatalf("got %d %+v, want %+v", status, again, first)
		}
	})
	t.Run("other content is a conflict", func(t *testing.T) {
		status, got := postTo(t, entry, "/v1/services/s/jobs", string(jobBody("j", 4)))
		if status != http.StatusConflict || got.Kind != ccjob.KindConflict || *got.NotRun {
			t.Fatalf("got %d %+v", status, got)
		}
	})
	t.Run("state is kept", func(t *testing.T) {
		response, err := http.Get("http://" + entry.HTTPAddr().String() + "/v1/jobs/j")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d", response.StatusCode)
		}
	})
}

// TestStopCutsNothing stops the entry while jobs are coming in. Each client gets
// a whole answer, or a refusal that is not run, or no connection.
func TestStopCutsNothing(t *testing.T) {
	entry := readyEntry(t)
	var group sync.WaitGroup
	started := make(chan struct{}, 100)
	for i := range 20 {
		group.Go(func() {
			for n := range 20 {
				status, data, err := post(http.DefaultClient, entry, jobBody(fmt.Sprintf("j-%d-%d", i, n), 50))
				started <- struct{}{}
				if err != nil {
					return // The socket is closed; nothing was taken.
				}
				var got reply
				if json.Unmarshal(data, &got) != nil || status != http.StatusOK && (got.NotRun == nil || !*got.NotRun) {
					t.Errorf("got %d %s", status, data)
				}
			}
		})
	}
	for range 30 {
		<-started
	}
	go func() {
		// Lets the clients go on.
		for {
			if _, open := <-started; !open {
				return
			}
		}
	}()
	if err := entry.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	group.Wait()
	close(started)
}
