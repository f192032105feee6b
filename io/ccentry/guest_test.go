package ccentry

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccnode"
)

// TestGuestsAreDropped has the ticks alone end a connection outside the subset,
// with no change of members, roster or settings to prompt it.
func TestGuestsAreDropped(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	e := New(Config{Node: ccnode.Ref{ID: "entry", Incarnation: 1}, Log: logr.Discard()})
	ended := false
	e.links["a"] = &link{cancel: func() { ended = true }, asked: start}
	e.dispatcher.SetOutsideSubset("a", true)
	assertLinked := func(at time.Duration, want bool) {
		t.Helper()
		e.tick(start.Add(at))
		if _, linked := e.links["a"]; linked != want || ended == want {
			t.Errorf("after %s the agent is connected: %t, want %t", at, linked, want)
		}
	}
	assertLinked(guestTime, true)
	assertLinked(guestTime+guestCheck, false)
}
