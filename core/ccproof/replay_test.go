package ccproof

import (
	"flag"
	"strings"
	"testing"
	"time"
)

var replaySeeds = flag.Int("replayseeds", 60, "how many schedules of replayable jobs are searched")

var replayStory = flag.Bool("replaystory", false, "print what happened in a schedule that fails")

// TestReplayableJobsNeverRunTwiceAtOnce searches schedules of kills, freezes, cuts
// and lost or late calls for a task that runs at two workers at once.
func TestReplayableJobsNeverRunTwiceAtOnce(t *testing.T) {
	starts := 0
	for seed := range uint64(*replaySeeds) {
		w := newReplayWorld(t, seed)
		if doubled := w.run(20 * time.Second); doubled != "" {
			t.Errorf("seed %d: %s", seed, doubled)
			if *replayStory {
				t.Log(strings.Join(w.story, "\n"))
			}
		}
		starts += w.starts
	}
	if starts < 100**replaySeeds {
		t.Errorf("only %d starts in %d schedules: the search shows little", starts, *replaySeeds)
	}
	t.Logf("%d starts in %d schedules", starts, *replaySeeds)
}
