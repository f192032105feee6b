package ccproof

import (
	"flag"
	"strings"
	"testing"
	"time"
)

var replaySeeds = flag.Int("replayseeds", 60, "number of schedules of replayable jobs to run")

var replayLog = flag.Bool("replaystory", false, "print the log of a schedule that fails")

// TestReplayableJobsNeverRunTwiceAtOnce guards against a task that runs on two
// workers at once. Its schedules have restarts, freezes, disconnects and lost or
// late calls.
func TestReplayableJobsNeverRunTwiceAtOnce(t *testing.T) {
	starts := 0
	for seed := range uint64(*replaySeeds) {
		w := newReplayWorld(t, seed)
		if violation := w.run(20 * time.Second); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
			if *replayLog {
				t.Log(strings.Join(w.log, "\n"))
			}
		}
		starts += w.starts
	}
	if starts < 100**replaySeeds {
		t.Errorf("only %d starts in %d schedules, too few to be meaningful", starts, *replaySeeds)
	}
	t.Logf("%d starts in %d schedules", starts, *replaySeeds)
}
