package ccproof

import (
	"flag"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A failure reports its seed; -proof.seed=N -proof.checks=1 reproduces it.
var (
	firstSeed = flag.Uint64("proof.seed", 1, "seed of the first schedule")
	checks    = flag.Int("proof.checks", 0, "schedules to run; 0 runs the fixed number")
)

const (
	// fixedChecks is the number of schedules without -proof.checks.
	fixedChecks = 600
	// guardSeed is the first seed of the schedules of TestEachGuard.
	guardSeed = 1
	// guardSchedules is the maximum number of schedules to run with a guard disabled.
	guardSchedules = 4000
	// cleanSchedules is the number of schedules to run with all guards enabled.
	cleanSchedules = 60
)

// guardCases lists for each guard a scenario whose schedules depend on it, and
// the violation that occurs when it is disabled.
var guardCases = []struct {
	name      string
	disable   func(*guards)
	scenario  scenario
	violation string
}{
	{"claims", func(g *guards) { g.claims = false }, scenario{}, "started"},
	{"vouching", func(g *guards) { g.proveNew = false }, scenario{}, "started"},
	{"promises and grantLife", func(g *guards) { g.promises, g.grantTTL = false, false }, scenario{setup: slotsTakenOver, lateEntry: true, weights: map[string]int{
		"resubmit": 4, "deliver one": 2, "deliver many": 6, "advance": 2, "finish": 1,
	}}, "started twice"},
	{"leases", func(g *guards) { g.leases = false }, scenario{weights: map[string]int{
		"submit": 2, "resubmit": 4, "deliver many": 6, "advance": 2, "pass": 4, "pause entry": 3, "finish": 1, "restart agent": 1, "reconnect": 2,
	}}, "started"},
	{"grantLife", func(g *guards) { g.grantTTL = false }, scenario{setup: lateGrant, weights: map[string]int{
		"resubmit": 1, "deliver one": 4, "deliver many": 4, "advance": 3, "pass": 1, "restart agent": 3, "reconnect": 4,
	}}, "started"},
	{"incarnation", func(g *guards) { g.incarnation = false }, scenario{}, "started twice"},
	{"tombstone", func(g *guards) { g.tombstone = false }, scenario{weights: map[string]int{
		"submit": 3, "resubmit": 1, "deliver one": 5, "deliver many": 6, "double": 8, "delay": 2, "advance": 2, "finish": 6,
	}}, "started twice"},
	{"fence", func(g *guards) { g.fence = false }, scenario{setup: orphanInFlight, weights: map[string]int{
		"deliver one": 1, "deliver many": 6, "advance a little": 4, "finish": 1,
	}}, "started twice"},
}

// setFlags sets the flags of rapid until the test ends.
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

// assertInvariants runs schedules, and fails with the log of the first one that
// violates an invariant. It returns the number of completed jobs.
func assertInvariants(t rapid.TB, g guards, s scenario) (completed int) {
	rapid.Check(t, func(t *rapid.T) {
		w := runSchedule(t, g, s)
		completed += w.completed
		if w.violation != "" {
			t.Fatalf("%s\n%s", w.violation, strings.Join(w.log, "\n"))
		}
	})
	return completed
}

func TestAllGuards(t *testing.T) {
	tries := *checks
	if tries == 0 {
		tries = fixedChecks
	}
	setFlags(t, *firstSeed, tries)
	completed := assertInvariants(t, allGuards(), scenario{})
	t.Logf("%d jobs completed", completed)
	if *checks == 0 && completed < fixedChecks/4 {
		t.Errorf("only %d jobs completed, too few for the schedules to be meaningful", completed)
	}
}

// TestEachGuard checks that each guard is needed: with the guard disabled some
// schedule of its scenario violates an invariant, with all enabled none does.
func TestEachGuard(t *testing.T) {
	for _, c := range guardCases {
		t.Run(c.name+" off", func(t *testing.T) {
			setFlags(t, guardSeed, guardSchedules)
			g := allGuards()
			c.disable(&g)
			violation, tried := findViolation(g, c.scenario)
			if !strings.Contains(violation, c.violation) {
				t.Errorf("%d schedules found violation %q, want one containing %q", tried, violation, c.violation)
			}
			t.Logf("Schedule %d: %s.", tried, violation)
		})
		t.Run(c.name+" on", func(t *testing.T) {
			setFlags(t, guardSeed, cleanSchedules)
			assertInvariants(t, allGuards(), c.scenario)
		})
	}
}

// findViolation runs schedules until one violates an invariant. It returns the
// violation and the number of schedules that were run.
func findViolation(g guards, s scenario) (violation string, tried int) {
	rapid.Check(&discardTB{}, func(t *rapid.T) {
		if violation != "" {
			return // Rapid is shrinking; the first failure is enough.
		}
		tried++
		if violation = runSchedule(t, g, s).violation; violation != "" {
			t.Fatal(violation)
		}
	})
	return violation, tried
}

// TestSearch searches for schedules that depend on a guard; the scenarios of
// guardCases were found this way. It runs only when -proof.search names a guard.
func TestSearch(t *testing.T) {
	for _, c := range guardCases {
		if c.name == *search {
			setFlags(t, *firstSeed, *checks)
			g := allGuards()
			c.disable(&g)
			assertInvariants(t, g, c.scenario)
		}
	}
}

var search = flag.String("proof.search", "", "the guard that TestSearch disables")

// discardTB is a rapid.TB that discards all output and records only whether it failed.
type discardTB struct{ failed bool }

func (*discardTB) Helper()                 {}
func (*discardTB) Name() string            { return "quiet" }
func (*discardTB) Logf(string, ...any)     {}
func (*discardTB) Log(...any)              {}
func (*discardTB) Skipf(string, ...any)    {}
func (*discardTB) Skip(...any)             {}
func (*discardTB) SkipNow()                {}
func (q *discardTB) Errorf(string, ...any) { q.failed = true }
func (q *discardTB) Error(...any)          { q.failed = true }
func (q *discardTB) Fatalf(string, ...any) { q.failed = true }
func (q *discardTB) Fatal(...any)          { q.failed = true }
func (q *discardTB) FailNow()              { q.failed = true }
func (q *discardTB) Fail()                 { q.failed = true }
func (q *discardTB) Failed() bool          { return q.failed }
