package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// job is what a client wants done.
type job struct {
	id       string
	tasks    int
	workMS   int
	cpu      int
	deadline time.Duration
}

// outcome is what a client has seen of one request.
type outcome struct {
	sent, ended time.Time
	status      int    // Zero is no complete answer.
	state       string // Of the job, if the answer names it.
	err         error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send hands a job in at an entry and waits for the answer.
func (f *fleet) send(p *process, j job) outcome {
	body, _ := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("work %d cpu %d", j.workMS, j.cpu), "best_effort": true,
		"steps": []any{map[string]any{"count": j.tasks, "cpu": j.cpu, "mem_mb": 64, "estimated_ms": j.workMS}},
	})
	out := f.call(p, http.MethodPost, j, body)
	f.record.add("client: POST %s at %s, sent %.0f ms ago, gets %s", j.id, p.name, float64(out.ended.Sub(out.sent).Microseconds())/1000, out)
	return out
}

func (o outcome) String() string {
	if o.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", o.err)
	}
	return fmt.Sprintf("%d %s", o.status, o.state)
}

// call sends a request on a channel of its own.
func (f *fleet) call(p *process, method string, j job, body []byte) outcome {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: j.deadline}
	request, err := http.NewRequest(method, "http://"+f.addr(p.ip, portFront)+prefix+j.id, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(j.deadline.Milliseconds()))
	out := outcome{sent: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			var answer struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &answer)
			out.status, out.state = response.StatusCode, answer.State
		}
	}
	out.ended, out.err = time.Now(), err
	return out
}

// resendAfter is the bound resend_ms: how long after a broken channel or an answer that
// leaves the job open a client sends it again.
const resendAfter = 1300 * time.Millisecond

// sendUntilEnded hands a job in at entries, one after the other, as a client does.
func (f *fleet) sendUntilEnded(first int, j job) outcome {
	for try := 0; ; try++ {
		out := f.send(f.entries[(first+try)%len(f.entries)], j)
		switch out.status {
		case 0, 502, 504:
		default:
			return out
		}
		if try == 2 {
			return out
		}
		time.Sleep(resendAfter)
	}
}
