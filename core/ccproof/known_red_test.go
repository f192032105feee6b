package ccproof

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
)

var runKnownRed = flag.Bool("knownred", false, "run the tests that KNOWN-RED.txt passes over, too")

// knownRedFile lists known faults. Its lines that begin with knownRedPrefix name the tests that are
// passed over for them. Those of other packages have the package's path before the test, and
// their package checks them.
const (
	knownRedFile   = "../../KNOWN-RED.txt"
	knownRedPrefix = "Skip: "
)

// knownRedTests returns the tests that are passed over.
func knownRedTests(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(knownRedFile)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		name, found := strings.CutPrefix(strings.TrimSpace(line), knownRedPrefix)
		if found && !strings.Contains(name, " ") {
			names = append(names, name)
		}
	}
	return names
}

// passOverKnownRed skips a test that KNOWN-RED.txt names, unless it is run by hand.
func passOverKnownRed(t *testing.T) {
	t.Helper()
	if !*runKnownRed && *searchSeeds == 0 && slices.Contains(knownRedTests(t), t.Name()) {
		t.Skipf("%s is a known red: see KNOWN-RED.txt; -knownred runs it", t.Name())
	}
}

// Guards against an entry of KNOWN-RED.txt that names no test, and so hides that its test runs again
// or has another name.
func TestKnownRedNamesTests(t *testing.T) {
	for _, name := range knownRedTests(t) {
		if !slices.ContainsFunc(searches, func(s replaySearch) bool { return "TestSearchReplayable/"+s.name == name }) {
			t.Errorf("%s: no search has this name", name)
		}
	}
}
