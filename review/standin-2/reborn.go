package main

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

// Of rebornCase. The limit is that of the users' price-quote, whose tasks take 900 ms on average and
// 3,600 ms at most.
const (
	rebornWork   = 1100 * time.Millisecond
	rebornLimit  = 1500 * time.Millisecond
	rebornCPU    = 1600
	rebornTasks  = 12
	crashFor     = 300 * time.Millisecond  // for_s of srv_crash
	muteFor      = 1500 * time.Millisecond // for_s of srv_grey
	settleBefore = 14 * time.Second        // Longer than an order may be late.
)

func init() { cases["reborn"] = rebornCase }

// rebornCase crashes an idle worker, which starts again under its ID and carries out what it is
// told, but answers nothing for a while. It looks for tasks that run twice at once (TWICE).
func rebornCase(r *rig) {
	for _, zone := range []string{"north", "south", "east", "west"} {
		r.addEntry(zone)
	}
	for _, zone := range []string{"north", "south", "east", "west", "north", "south", "east", "west", "north", "south", "east"} {
		r.addAgent(zone)
	}
	r.ready()
	time.Sleep(settleBefore)
	if r.trouble {
		w := r.workers[0]
		w.crash()
		time.Sleep(crashFor)
		w.setMute(true)
		if err := w.boot(); err != nil {
			r.finish(2, err.Error())
		}
		time.AfterFunc(muteFor, func() { w.setMute(false) })
		time.Sleep(50 * time.Millisecond)
	}
	var clients sync.WaitGroup
	for i := range r.entries {
		clients.Go(func() {
			id := r.newID(rebornWork, rebornCPU)
			r.request(context.Background(), "POST", i, r.prefix+id, rebornLimit, job(rebornTasks, rebornCPU, rebornWork))
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	if n := r.overlaps(); n > 0 {
		r.finish(1, fmt.Sprintf("TWICE: %d tasks ran twice at the same time", n))
	}
	r.finish(0, "no task ran twice at the same time")
}

// overlaps counts the tasks of which two runs were active at the same time.
func (r *rig) overlaps() int {
	r.mu.Lock()
	byTask := map[string][]seen{}
	for _, s := range r.runs {
		byTask[s.task] = append(byTask[s.task], *s)
	}
	r.mu.Unlock()
	n := 0
	for task, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].start.Before(runs[j].start) })
		for i := 1; i < len(runs); i++ {
			first, second := runs[i-1], runs[i]
			if first.end.IsZero() || first.end.After(second.start) {
				n++
				r.log("twice: %s at %s until %.1f and at %s from %.1f", task, first.worker, r.since(first.end), second.worker, r.since(second.start))
			}
		}
	}
	return n
}

// since returns a time in milliseconds as in the record.
func (r *rig) since(t time.Time) float64 { return float64(t.Sub(r.begin).Microseconds()) / 1000 }
