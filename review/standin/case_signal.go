package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// lossSlack is the bound loss_slack_ms of the rule LOST.
const lossSlack = 200 * time.Millisecond

// signalWhileStopping stops an entry with SIGTERM while it serves, and tells it meanwhile,
// with SIGHUP, that its settings may have changed.
func signalWhileStopping(rec *record, trouble bool) (bool, error) {
	f, err := startFleet(rec, 2, 4)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	stopping, other := f.entries[0], f.entries[1]
	var (
		mu       sync.Mutex
		outcomes = map[string]outcome{}
		wg       sync.WaitGroup
		done     = make(chan struct{})
	)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(40 * time.Millisecond):
			}
			// Clients move to another entry as soon as the first one is not ready.
			p := stopping
			if i%2 == 1 || !f.ready(stopping) {
				p = other
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				j := job{id: newID(), tasks: 2, workMS: 900, cpu: 800, deadline: 5 * time.Second}
				out := f.send(p, j)
				mu.Lock()
				defer mu.Unlock()
				if p == stopping {
					outcomes[j.id] = out
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	f.signal(stopping, syscall.SIGTERM)
	if trouble {
		time.Sleep(400 * time.Millisecond)
		f.signal(stopping, syscall.SIGHUP)
	}
	select {
	case <-stopping.exited:
	case <-time.After(8 * time.Second):
	}
	time.Sleep(500 * time.Millisecond)
	close(done)
	wg.Wait()
	lost := 0
	for id, out := range outcomes {
		if refused, ok := out.err.(net.Error); ok && refused.Timeout() {
			continue // The client's time limit was reached.
		}
		started := false
		for _, w := range f.workers {
			started = started || len(w.runsOf(id)) > 0
		}
		if out.status == 0 && (started || out.ended.Sub(out.sent) > lossSlack) {
			lost++
			rec.add("LOST: the channel of %s ended with no complete answer, after it was passed on to a worker: %v", id, started)
		}
	}
	rec.add("%d requests at %s, %d of them lost", len(outcomes), stopping.name, lost)
	return lost > 0, nil
}
