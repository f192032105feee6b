package cclimit_test

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
)

var runKnownRed = flag.Bool("knownred", false, "run the tests that KNOWN-RED.txt passes over, too")

// mayBeKnownRed are the tests that call passOverKnownRed.
var mayBeKnownRed = []string{"TestServedRequestsAreReserved"}

// knownRedTests returns the tests of this package that KNOWN-RED.txt passes over.
func knownRedTests(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		if name, found := strings.CutPrefix(strings.TrimSpace(line), "Skip: io/cclimit "); found {
			names = append(names, name)
		}
	}
	return names
}

// passOverKnownRed skips a test that KNOWN-RED.txt names, unless it is run by hand.
func passOverKnownRed(t *testing.T) {
	t.Helper()
	if !*runKnownRed && slices.Contains(knownRedTests(t), t.Name()) {
		t.Skipf("%s is a known red: see KNOWN-RED.txt; -knownred runs it", t.Name())
	}
}

// Guards against an entry of KNOWN-RED.txt that names no test of this package.
func TestKnownRedNamesTests(t *testing.T) {
	for _, name := range knownRedTests(t) {
		if !slices.Contains(mayBeKnownRed, name) {
			t.Errorf("%s: no test that may be passed over has this name", name)
		}
	}
}
