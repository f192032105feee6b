package cclab

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccreplay"
)

const crashFrom, crashUntil = 2 * time.Second, 10 * time.Second

// crashingFleet is the small fleet with a class of which a share crashes its workers.
func crashingFleet(seed uint64, class string, share float64) Config {
	cfg := smallFleet(seed, 1)
	cfg.Bursts, cfg.CrashFrom, cfg.CrashUntil = nil, crashFrom, crashUntil
	for i := range cfg.Classes {
		if cfg.Classes[i].Name == class {
			cfg.Classes[i].Crashing = share
		}
	}
	return cfg
}

// otherCredit returns the mean credit of the jobs of all classes but one in [from, to).
func otherCredit(result *Result, class string, from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for _, r := range result.Records {
		if r.Class != class && r.Sent >= from && r.Sent < to {
			sum += r.credit()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// Guards against a class of jobs that crashes worker after worker and takes all other
// classes down with it.
func TestCrashingClassIsIsolated(t *testing.T) {
	for _, class := range []string{"short", "long", "medium"} {
		for _, share := range []float64{0.02, 0.1, 0.3} {
			t.Run(fmt.Sprintf("%s %g", class, share), func(t *testing.T) {
				for seed := range *labSeeds {
					result := New(crashingFleet(seed, class, share)).Run()
					before := otherCredit(result, class, 0, crashFrom)
					for from := crashFrom; from < crashUntil; from += 2 * time.Second {
						if got := otherCredit(result, class, from, from+2*time.Second); got < 0.9*before {
							t.Errorf("seed %d: credit of the other classes from %v on: %.3f, want 0.9 of the %.3f before", seed, from, got, before)
						}
					}
					own := result.Filter(func(r *Record) bool {
						return r.Class == class && !r.Crashes && r.Sent >= crashFrom && r.Sent < crashUntil
					})
					credit := 0.0
					for _, r := range own {
						credit += r.credit() / float64(len(own))
					}
					accused := result.Filter(func(r *Record) bool { return !r.Crashes && r.Outcome == ccreplay.StateFailed })
					t.Logf("seed %d: %d crashes, credit of the rest of the class %.3f, failed without a fault %d", seed, result.Crashes, credit, len(accused))
				}
			})
		}
	}
}

// Guards against jobs that fail because the workers that ran them crashed by themselves.
func TestWorkersThatCrashAccuseNoJob(t *testing.T) {
	for seed := range *labSeeds {
		cfg := smallFleet(seed, 1)
		cfg.Bursts, cfg.CrashEvery = nil, 300*time.Millisecond
		result := New(cfg).Run()
		failed := result.Filter(func(r *Record) bool { return r.Outcome == ccreplay.StateFailed })
		if len(failed) > len(result.Records)/200 {
			t.Errorf("seed %d: %d of %d jobs failed, want one in 200 at most", seed, len(failed), len(result.Records))
		}
		t.Logf("seed %d: %d crashes, %d jobs failed of %d", seed, result.Crashes, len(failed), len(result.Records))
	}
}
