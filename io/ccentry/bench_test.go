package ccentry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccentry"
)

// jobBody returns a submission of n tasks.
func jobBody(id string, n int) []byte {
	type taskBody struct {
		Payload string `json:"payload"`
	}
	tasks := make([]taskBody, n)
	for i := range tasks {
		tasks[i].Payload = "payload of task " + strconv.Itoa(i)
	}
	data, _ := json.Marshal(map[string]any{"jobID": id, "team": "t", "deadline": "10s", "tasks": tasks})
	return data
}

func post(client *http.Client, entry *ccentry.Entry, body []byte) (int, []byte, error) {
	return postURL(client, "http://"+entry.HTTPAddr().String()+"/v1/services/s/jobs", body)
}

func postURL(client *http.Client, url string, body []byte) (int, []byte, error) {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func awaitReady(tb testing.TB, client *http.Client, entry *ccentry.Entry) {
	for range 1000 {
		response, err := client.Get("http://" + entry.HTTPAddr().String() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	tb.Fatal("entry is not ready")
}

func elevenAgents() []ccnode.ID {
	var names []ccnode.ID
	for i := range 11 {
		names = append(names, ccnode.ID(fmt.Sprintf("agent-%02d", i)))
	}
	return names
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runJobs submits jobs of 100 tasks from 16 clients at once, and returns how many
// tasks started and how much processor time they took.
func runJobs(b *testing.B, client *http.Client, entry *ccentry.Entry) (int, time.Duration) {
	b.Helper()
	const tasks, clients = 100, 16
	cpu, number := cpuTime(), 0
	for b.Loop() {
		var group sync.WaitGroup
		for range clients {
			number++
			body := jobBody(fmt.Sprint("job-", number), tasks)
			group.Go(func() {
				if status, answer, err := post(client, entry, body); err != nil || status != http.StatusOK {
					b.Errorf("status %d, error %v: %s", status, err, answer)
				}
			})
		}
		group.Wait()
	}
	return number * tasks, cpuTime() - cpu
}

// BenchmarkStartsPerCore counts task starts per second of processor time, with
// jobs of 100 tasks from 16 clients. The time of the clients and of the agents,
// which answer at once, is counted in, so the entry's own figure is higher.
func BenchmarkStartsPerCore(b *testing.B) {
	entry := startEntry(b, cellStore(b, startInstantAgents(b, elevenAgents(), 64)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	awaitReady(b, client, entry)
	starts, spent := runJobs(b, client, entry)
	b.ReportMetric(float64(starts)/spent.Seconds(), "starts/cpu-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAddedLatency measures a job of one task whose target takes no time,
// one at a time: all of it is the way through the entry, the agent's connection
// and the client's. "direct" is the same client at a server that answers at once,
// which is what a client without an entry would wait.
func BenchmarkAddedLatency(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	b.Run("direct", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		}))
		defer server.Close()
		benchmarkPosts(b, client, server.URL)
	})
	b.Run("entry", func(b *testing.B) {
		entry := startEntry(b, cellStore(b, startInstantAgents(b, elevenAgents(), 8)))
		awaitReady(b, client, entry)
		benchmarkPosts(b, client, "http://"+entry.HTTPAddr().String()+"/v1/services/s/jobs")
	})
}

// benchmarkPosts posts jobs of one task, one after the other.
func benchmarkPosts(b *testing.B, client *http.Client, url string) {
	var times []time.Duration
	for b.Loop() {
		body := jobBody(fmt.Sprint("job-", len(times)), 1)
		start := time.Now()
		if status, answer, err := postURL(client, url, body); err != nil || status != http.StatusOK {
			b.Fatalf("status %d, error %v: %s", status, err, answer)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(0, "ns/op")
}
