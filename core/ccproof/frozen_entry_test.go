package ccproof

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccreplay"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
)

const (
	// callerLimit is how long the callers of these schedules wait for an answer.
	callerLimit = 1500 * time.Millisecond
	// noticeDelay is the longest time from the reading of a request until the entry sees that
	// its caller has closed the connection before.
	noticeDelay = 100 * time.Millisecond
)

// Guards against a task that runs twice because an entry that stood still reads a request
// whose caller has left since and has sent the job to another entry.
func TestFrozenEntryReadsOldRequests(t *testing.T) {
	starts := 0
	for seed := range uint64(40) {
		w := newReplayWorld(t, seed)
		w.calls = callFaults{}
		w.workerModel.minRun, w.workerModel.maxRun = 300*time.Millisecond, 700*time.Millisecond
		w.schedule(0, w.tick)
		w.schedule(time.Millisecond, w.reconnect)
		frozen := w.entries[0]
		freeze := w.between(400*time.Millisecond, 3400*time.Millisecond)
		w.schedule(2*time.Second, func() { frozen.frozenUntil = w.now.Add(freeze) })
		for i := range 12 {
			id := fmt.Sprintf("job-%d", i)
			w.schedule(2*time.Second+time.Duration(w.rng.IntN(400))*time.Millisecond, func() { w.sendWithLimit(id, 0, 1) })
		}
		w.simulate(8 * time.Second)
		if w.violation != "" {
			t.Errorf("seed %d, frozen for %s: %s", seed, freeze, w.violation)
		}
		starts += w.starts
	}
	if starts < 40*10 {
		t.Errorf("only %d starts, too few to be meaningful", starts)
	}
}

// sendWithLimit has a caller send a job to an entry, leave after callerLimit, and send it again
// to the next entry resendAfter later. The entry knows of the caller's limit only from when
// it reads the request. The caller notices that the entry restarted by its broken connection.
func (w *replayWorld) sendWithLimit(id string, entry, tries int) {
	e := w.entries[entry]
	w.token++
	ref, token, done, left, read := e.ref, w.token, false, false, false
	finish := func(again bool) {
		done = true
		delete(e.callers, token)
		if again && tries > 0 {
			w.schedule(resendAfter, func() { w.sendWithLimit(id, (entry+1)%len(w.entries), tries-1) })
		}
	}
	e.callers[token] = func(answer ccreplay.Answer) {
		finish(answer.State == ccreplay.StateExpired || answer.State == ccreplay.StateUnknown)
	}
	atEntry := func(do func()) {
		e.deliver(func() {
			if e.ref == ref {
				do()
			}
		})
	}
	cancel := func() {
		w.schedule(w.between(time.Millisecond, noticeDelay), func() {
			atEntry(func() { e.scheduler.Cancel(w.now, id, token) })
		})
	}
	w.logf("caller sends %s to %s", id, e.ref)
	w.schedule(w.networkDelay(), func() {
		atEntry(func() {
			if left && w.seesClosed {
				return
			}
			read = true
			e.scheduler.Submit(w.now, ccreplay.Request{
				Token: token, ID: id, Tasks: 1, Need: ccresource.Amount{CPU: 1000},
				Route:    ccroute.Route{Service: "s", MaxAttempts: 3, Stretch: 1.6, Allowance: 600 * time.Millisecond},
				Estimate: 500 * time.Millisecond, Deadline: w.now.Add(callerLimit),
			})
			if left {
				cancel()
			}
		})
	})
	leaveAt := w.now.Add(callerLimit)
	var watch func()
	watch = func() {
		switch {
		case done:
		case e.ref != ref:
			finish(true)
		case !w.now.Before(leaveAt):
			w.logf("caller of %s leaves", id)
			left = true
			if read {
				cancel()
			}
			finish(true)
		default:
			w.schedule(5*time.Millisecond, watch)
		}
	}
	watch()
}
