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

// fixedChecks is how many schedules each run tries without a flag.
const fixedChecks = 600

// guardCases has for each guard a schedule that needs it.
var guardCases = []struct {
	name  string
	off   func(*guards)
	seed  uint64
	finds string
}{
	{"claims", func(g *guards) { g.claims = false }, 1, "started twice"},
	{"vouching", func(g *guards) { g.vouching = false }, 1, "started twice"},
	{"promises", func(g *guards) { g.promises = false }, 1, "started twice"},
	{"leases", func(g *guards) { g.leases = false }, 1, "started twice"},
	{"grantLife", func(g *guards) { g.grantLife = false }, 1, "started twice"},
	{"incarnation", func(g *guards) { g.incarnation = false }, 1, "started twice"},
	{"tombstone", func(g *guards) { g.tombstone = false }, 1, "started twice"},
	{"fence", func(g *guards) { g.fence = false }, 1, "started twice"},
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
func assertHolds(t rapid.TB, g guards) (done int) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, g)
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
	done := assertHolds(t, allGuards())
	t.Logf("%d jobs were answered whole", done)
	if *checks == 0 && done < fixedChecks/4 {
		t.Errorf("only %d jobs were answered whole, so the schedules show little", done)
	}
}

// TestEachGuard plays one schedule twice, with a guard off and with all on.
func TestEachGuard(t *testing.T) {
	for _, c := range guardCases {
		t.Run(c.name+" off", func(t *testing.T) {
			setFlags(t, c.seed, 1)
			g := allGuards()
			c.off(&g)
			if broken := breaks(g); !strings.Contains(broken, c.finds) {
				t.Errorf("the schedule found %q, not that a task %s", broken, c.finds)
			}
		})
		t.Run(c.name+" on", func(t *testing.T) {
			setFlags(t, c.seed, 1)
			assertHolds(t, allGuards())
		})
	}
}

// breaks returns what doesn't hold after the schedule of the seed in force.
func breaks(g guards) (broken string) {
	rapid.Check(&quiet{}, func(t *rapid.T) {
		broken = play(t, g).broken
	})
	return broken
}

// TestSearch looks for schedules that need each guard. It is how those of
// guardCases were found, and runs only when -proof.search names a guard.
func TestSearch(t *testing.T) {
	for _, c := range guardCases {
		if c.name == *search {
			setFlags(t, *firstSeed, *checks)
			g := allGuards()
			c.off(&g)
			assertHolds(t, g)
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
