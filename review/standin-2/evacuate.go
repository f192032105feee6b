package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Of evacuateCase. The bound is from the settings of the small deployments, the length of the
// cut from their days. The delay of a restart is "short".
const (
	evacuateBound  = 5 * time.Second         // evacuate_ms
	storeCut       = 5500 * time.Millisecond // for_s of core_cut
	restartDelay   = 200 * time.Millisecond
	evacuatedZone  = "zone-2"
	evacuatedEntry = 1 // The entry in that zone.
)

func init() { cases["evacuate"] = evacuateCase }

// evacuateCase evacuates a zone. Later than evacuate_ms after that, the entry of the zone is
// partitioned from the store and restarted. It looks for tasks that agents, which nothing
// disturbs, start in the zone (EVAC).
func evacuateCase(r *rig) {
	zones := []string{"zone-1", "zone-2", "zone-3", "zone-4"}
	for _, zone := range zones {
		r.addEntry(zone)
	}
	for _, zone := range []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-1", "zone-2", "zone-3", "zone-4", "zone-1", "zone-2", "zone-3"} {
		r.addAgent(zone)
	}
	r.ready()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range r.entries {
		go r.traffic(ctx, i)
	}
	time.Sleep(2 * time.Second)
	r.store.put("op/evacuate/"+evacuatedZone, struct{}{})
	acked := time.Now()
	r.log("the evacuation of %s is acknowledged", evacuatedZone)
	time.Sleep(evacuateBound + 2*time.Second)
	if n := r.startedIn(evacuatedZone, acked.Add(evacuateBound)); n > 0 {
		r.finish(1, fmt.Sprintf("EVAC: %d tasks started in the zone before anything was disturbed", n))
	}
	if r.trouble {
		entry := r.entries[evacuatedEntry]
		r.log("%s is partitioned from the store", entry.name)
		r.links[evacuatedEntry].setCut(true)
		time.AfterFunc(storeCut, func() {
			r.links[evacuatedEntry].setCut(false)
			r.log("the partition has ended")
		})
		r.signal(entry, syscall.SIGKILL)
		<-entry.gone
		time.Sleep(restartDelay)
		r.run(entry)
	}
	time.Sleep(storeCut + time.Second)
	cancel()
	time.Sleep(200 * time.Millisecond)
	if n := r.startedIn(evacuatedZone, acked.Add(evacuateBound)); n > 0 {
		r.finish(1, fmt.Sprintf("EVAC: %d tasks started in %s later than evacuate_ms after its evacuation was acknowledged", n, evacuatedZone))
	}
	r.finish(0, "no task started in the zone after the bound")
}

// traffic sends 25 jobs a second to an entry, as the forwarder of its zone does: while the entry
// was not ready twice in a row, it gets none until it is.
func (r *rig) traffic(ctx context.Context, entry int) {
	inRotation := r.watchReadiness(ctx, entry)
	for range time.Tick(40 * time.Millisecond) {
		if ctx.Err() != nil {
			return
		}
		if !inRotation() {
			continue
		}
		go func() {
			const work, cpu = 60 * time.Millisecond, 1600
			r.request(ctx, "POST", entry, r.prefix+r.newID(work, cpu), 1500*time.Millisecond, job(4, cpu, work))
		}()
	}
}

// startedIn returns how many tasks have started at the workers of a zone after a time.
func (r *rig) startedIn(zone string, after time.Time) int {
	n := 0
	for _, w := range r.workers {
		if w.zone != zone {
			continue
		}
		r.mu.Lock()
		for _, s := range r.runs {
			if s.worker == w.id && s.start.After(after) {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}
