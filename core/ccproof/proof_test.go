package ccproof

import (
	"flag"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A failure names its seed; -proof.seed=N -proof.checks=1 plays it again.
var (
	firstSeed = flag.Uint64("proof.seed", 1, "seed of the first schedule")
	checks    = flag.Int("proof.checks", 0, "schedules to try; 0 tries the fixed number")
)

const (
	// fixedChecks is how many schedules each run tries without a flag.
	fixedChecks = 600
	// guardSeed is the first seed of the schedules that show what a guard is for.
	guardSeed = 1
	// guardSchedules is how many of them are tried with a guard off, at most.
	guardSchedules = 4000
	// cleanSchedules is how many of them are tried with all on.
	cleanSchedules = 60
)

// guardCases has for each guard the schedules that need it, and what goes wrong
// without it.
var guardCases = []struct {
	name  string
	off   func(*guards)
	focus focus
	finds string
}{
	{"claims", func(g *guards) { g.claims = false }, focus{}, "started"},
	{"vouching", func(g *guards) { g.vouching = false }, focus{}, "started"},
	{"promises and grantLife", func(g *guards) { g.promises, g.grantLife = false, false }, focus{opening: handedOn, late: true, shares: map[string]int{
		"resubmit": 4, "deliver one": 2, "deliver many": 6, "advance": 2, "finish": 1,
	}}, "started twice"},
	{"leases", func(g *guards) { g.leases = false }, focus{shares: map[string]int{
		"submit": 2, "resubmit": 4, "deliver many": 6, "advance": 2, "pass": 4, "pause entry": 3, "finish": 1, "restart agent": 1, "reconnect": 2,
	}}, "started"},
	{"grantLife", func(g *guards) { g.grantLife = false }, focus{opening: lateGrant, shares: map[string]int{
		"resubmit": 1, "deliver one": 4, "deliver many": 4, "advance": 3, "pass": 1, "restart agent": 3, "reconnect": 4,
	}}, "started"},
	{"incarnation", func(g *guards) { g.incarnation = false }, focus{}, "started twice"},
	{"tombstone", func(g *guards) { g.tombstone = false }, focus{shares: map[string]int{
		"submit": 3, "resubmit": 1, "deliver one": 5, "deliver many": 6, "double": 8, "delay": 2, "advance": 2, "finish": 6,
	}}, "started twice"},
	{"fence", func(g *guards) { g.fence = false }, focus{opening: orphanInFlight, shares: map[string]int{
		"deliver one": 1, "deliver many": 6, "advance a little": 4, "finish": 1,
	}}, "started twice"},
}

// setFlags fixes rapid's settings until the test ends.
func setFlags(t *testing.T, seed uint64, checks int) {
	t.Helper()
	settings := map[string]string{
		"rapid.seed": strconv.FormatUint(seed, 10), "rapid.checks": strconv.Itoa(checks),
		"rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	}
	for name, value := range settings {
		previous := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, previous) })
	}
}

// assertHolds plays schedules and fails with the time line of the first after
// which something doesn't hold.
func assertHolds(t rapid.TB, g guards, f focus) (done int) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, g, f)
		done += w.done
		if w.broken != "" {
			t.Fatalf("%s\n%s", w.broken, strings.Join(w.log, "\n"))
		}
	})
	return done
}

func TestAllGuards(t *testing.T) {
	tries := *checks
	if tries == 0 {
		tries = fixedChecks
	}
	setFlags(t, *firstSeed, tries)
	done := assertHolds(t, allGuards(), focus{})
	t.Logf("%d jobs were answered whole", done)
	if *checks == 0 && done < fixedChecks/4 {
		t.Errorf("only %d jobs were answered whole, so the schedules show little", done)
	}
}

// TestEachGuard finds a schedule that goes wrong with a guard off, among those
// that do not with all on.
func TestEachGuard(t *testing.T) {
	for _, c := range guardCases {
		t.Run(c.name+" off", func(t *testing.T) {
			setFlags(t, guardSeed, guardSchedules)
			g := allGuards()
			c.off(&g)
			broken, tried := breaks(g, c.focus)
			if !strings.Contains(broken, c.finds) {
				t.Errorf("%d schedules found %q, not that a task %s", tried, broken, c.finds)
			}
			t.Logf("Schedule %d: %s.", tried, broken)
		})
		t.Run(c.name+" on", func(t *testing.T) {
			setFlags(t, guardSeed, cleanSchedules)
			assertHolds(t, allGuards(), c.focus)
		})
	}
}

// breaks plays schedules until something doesn't hold, and returns what, and how
// many it took.
func breaks(g guards, f focus) (broken string, tried int) {
	rapid.Check(&quiet{}, func(t *rapid.T) {
		if broken != "" {
			return // Rapid tries to shrink; the first will do.
		}
		tried++
		if broken = play(t, g, f).broken; broken != "" {
			t.Fatal(broken)
		}
	})
	return broken, tried
}

// TestSearch looks for schedules that need each guard. It is how those of
// guardCases were found, and runs only when -proof.search names a guard.
func TestSearch(t *testing.T) {
	for _, c := range guardCases {
		if c.name == *search {
			setFlags(t, *firstSeed, *checks)
			g := allGuards()
			c.off(&g)
			assertHolds(t, g, c.focus)
		}
	}
}

var search = flag.String("proof.search", "", "the guard that TestSearch switches off")

// quiet takes rapid's output.
type quiet struct{ failed bool }

func (*quiet) Helper()                 {}
func (*quiet) Name() string            { return "quiet" }
func (*quiet) Logf(string, ...any)     {}
func (*quiet) Log(...any)              {}
func (*quiet) Skipf(string, ...any)    {}
func (*quiet) Skip(...any)             {}
func (*quiet) SkipNow()                {}
func (q *quiet) Errorf(string, ...any) { q.failed = true }
func (q *quiet) Error(...any)          { q.failed = true }
func (q *quiet) Fatalf(string, ...any) { q.failed = true }
func (q *quiet) Fatal(...any)          { q.failed = true }
func (q *quiet) FailNow()              { q.failed = true }
func (q *quiet) Fail()                 { q.failed = true }
func (q *quiet) Failed() bool          { return q.failed }
