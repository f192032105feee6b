package ccproof

import (
	"flag"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccwire"
)

var evacuationSeeds = flag.Int("evacuationseeds", 8, "number of schedules of evacuations to run")

// Guards against a task that starts in a domain that was taken out, at the order of an entry that is
// cut off from the store, and against a domain that stays closed after it was taken back.
func TestNothingStartsInADomainThatIsOut(t *testing.T) {
	t.Parallel()
	starts := 0
	for seed := range uint64(*evacuationSeeds) {
		w := newEvacuationWorld(seed, false)
		if violation := w.run(30 * time.Second); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
			if *replayLog {
				t.Log(strings.Join(w.log, "\n"))
			}
		}
		starts += w.evacuations.starts
	}
	if starts < 500**evacuationSeeds {
		t.Errorf("only %d starts in %d schedules, too few to be meaningful", starts, *evacuationSeeds)
	}
}

// Guards against a test that finds nothing: it must find a start if agents are not told of their
// domain.
func TestEvacuationsFindAgentsThatAreNotTold(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2 * *evacuationSeeds) {
		if violation := newEvacuationWorld(seed, true).run(30 * time.Second); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no violation in %d schedules", 2**evacuationSeeds)
}

// Guards against tasks in a domain that was taken out before all entries started again, while the
// store is away: they have only the plans of agents, some of which are from before.
func TestEvacuationOutlastsARestartOfAllEntries(t *testing.T) {
	t.Parallel()
	const domains, length = 3, 12 * time.Second
	for seed := range uint64(10) {
		w := newPlanWorldWith(seed, domains, 4*domains, func(_, _ int) bool { return true })
		w.calls = callFaults{}
		ev := &evacuations{w: w, out: []map[string]bool{{}}, since: map[string]time.Time{}}
		w.evacuations, w.accepted = ev, []time.Time{w.start}
		in, out := 0, 0
		for _, a := range w.agents {
			a.worker.onStart = func(ccwire.TaskRef) {
				switch {
				case a.worker.domain != domainName(1):
					in++
				case w.now.Sub(w.start) > 2*time.Second:
					out++
				}
			}
		}
		w.schedule(0, w.tick)
		w.schedule(time.Millisecond, w.reconnect)
		w.schedule(0, w.readStore)
		w.schedule(0, ev.submit)
		w.schedule(time.Second, func() {
			w.accepted, ev.out = append(w.accepted, w.now), append(ev.out, map[string]bool{domainName(1): true})
		})
		w.schedule(3*time.Second, func() {
			in = 0
			for _, e := range w.entries {
				w.readers[e.ref.ID].awayUntil, w.readers[e.ref.ID].disturbedAt = w.start.Add(length), w.start.Add(length)
				w.killEntry(e)
			}
		})
		w.simulate(length)
		if out > 0 || in < 50 || w.violation != "" {
			t.Errorf("seed %d: %d tasks in the domain that is out, %d in the others since the restart, %s", seed, out, in, w.violation)
		}
	}
}
