package ccproof

import (
	"flag"
	"strings"
	"testing"
	"time"
)

var evacuationSeeds = flag.Int("evacuationseeds", 8, "number of schedules of evacuations to run")

// Guards against a task that starts in a domain that was taken out, at the order of an entry that is
// cut off from the store, and against a domain that stays closed after it was taken back.
func TestNothingStartsInADomainThatIsOut(t *testing.T) {
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
	for seed := range uint64(2 * *evacuationSeeds) {
		if violation := newEvacuationWorld(seed, true).run(30 * time.Second); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no violation in %d schedules", 2**evacuationSeeds)
}
