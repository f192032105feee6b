package main

import (
	"context"
	"fmt"
	"time"
)

// Bounds of the small deployments, from the settings.
const (
	cancelBound = 3 * time.Second       // cancel_ms
	stopBound   = 50 * time.Millisecond // stop_ms
)

// The job of cancelCase is of the users' longest kind: tasks of 0.9 s on 1.6 cores. Three
// workers of 16 cores run 30 of them at once, so that it takes 4.5 s.
const (
	cancelTasks = 150
	cancelCPU   = 1600
	cancelWork  = 900 * time.Millisecond
	cancelLimit = 8 * time.Second
)

func init() { cases["cancel"] = cancelCase }

// cancelCase cancels a job while it runs, and looks for what starts or runs on too late after
// that was acknowledged (UNASKED).
func cancelCase(r *rig) {
	for _, zone := range []string{"north", "south"} {
		r.addEntry(zone)
	}
	for _, zone := range []string{"north", "south", "north"} {
		r.addAgent(zone)
	}
	r.ready()
	id := r.newID(cancelWork, cancelCPU)
	answered := make(chan reply, 1)
	go func() {
		answered <- r.request(context.Background(), "POST", 0, r.prefix+id, cancelLimit, job(cancelTasks, cancelCPU, cancelWork))
	}()
	for range 100 {
		if len(r.begun(id)) > 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(r.begun(id)) == 0 {
		r.finish(2, "the job does not start")
	}
	if !r.trouble {
		if got := <-answered; got.status != 200 || got.body != `{"state":"completed"}` {
			r.finish(2, fmt.Sprintf("without the cancel the job gets %d %s", got.status, got.body))
		}
		r.finish(0, "the job is completed, and nobody has canceled it")
	}
	// The same node has the job, so that it need not be asked for elsewhere.
	cancel := r.request(context.Background(), "DELETE", 0, r.prefix+id, 4*time.Second, nil)
	if cancel.status/100 != 2 && cancel.status != 410 {
		r.finish(2, fmt.Sprintf("the cancel is not acknowledged: %d", cancel.status))
	}
	got := <-answered
	time.Sleep(200 * time.Millisecond)
	late, on := 0, 0
	for _, s := range r.begun(id) {
		if s.start.After(cancel.at.Add(cancelBound)) {
			late++
		}
		if s.end.IsZero() || s.end.After(cancel.at.Add(cancelBound+stopBound)) {
			on++
		}
	}
	if late+on > 0 {
		r.finish(1, fmt.Sprintf("UNASKED: the cancel was acknowledged with %d; later than cancel_ms after that %d tasks were started, and later than stop_ms after that %d ran on; the job's request got %d %s",
			cancel.status, late, on, got.status, got.body))
	}
	r.finish(0, "nothing has started or run on too late after the cancel")
}
