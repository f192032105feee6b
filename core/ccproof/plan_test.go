package ccproof

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	planSeeds    = flag.Int("planseeds", 60, "number of schedules of plans to run")
	planSeedFrom = flag.Uint64("planseedfrom", 0, "seed of the first schedule of plans")
)

// regressionPlanSeeds failed when an agent did not send a plan again whose copy was lost
// with its session.
var regressionPlanSeeds = []uint64{149, 177, 188, 243, 290, 384, 988, 1064, 1185}

// Guards against an entry that keeps an old plan: refused as an older version says though
// the newer one was accepted long before.
func TestPlansAreInForceInTime(t *testing.T) {
	t.Parallel()
	seeds := slices.Clone(regressionPlanSeeds)
	for i := range uint64(*planSeeds) {
		seeds = append(seeds, *planSeedFrom+i)
	}
	for _, seed := range seeds {
		w := newPlanWorld(seed)
		if violation := w.run(30 * time.Second); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
			if *replayLog {
				t.Log(strings.Join(w.log, "\n"))
			}
		}
	}
}
