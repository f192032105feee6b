package ccdispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// newRecordingTestbed returns a testbed whose dispatcher records events.
func newRecordingTestbed(t *testing.T) (*testbed, *ccevent.Ring) {
	t.Helper()
	b := newTestbed(t, nil)
	self := ccnode.Ref{ID: "e", Incarnation: 1}
	ring := ccevent.NewRing(ccevent.RingConfig{Node: self, Domain: "north", Size: 1000})
	b.dispatcher = ccdispatch.New(ccdispatch.Config{Entry: self, Seed: 1, Record: ring.Record})
	b.dispatcher.SetSettings(b.now, settings(1, nil))
	return b, ring
}

// assertEvents compares the kinds of all events with want. An event for several
// tasks has their number as a suffix.
func assertEvents(t *testing.T, ring *ccevent.Ring, want string) {
	t.Helper()
	var kinds []string
	for _, event := range ring.After(0) {
		text := string(event.Kind)
		if event.Count > 1 {
			text += fmt.Sprintf("*%d", event.Count)
		}
		kinds = append(kinds, text)
	}
	if got := strings.Join(kinds, " "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

func TestJobEvents(t *testing.T) {
	b, ring := newRecordingTestbed(t)
	b.connectAgent("a", 1, "south", 2)
	b.submit("j", 2)
	b.reportAll("a", ccwire.CodeStale, 2)
	b.reportAll("a", ccwire.CodeDone, 2)
	assertEvents(t, ring, "agentUp sent*2 returned returned sent*2 answered answered completed*2")
	for _, event := range ring.After(0) {
		cause := ccevent.Cause{}
		if event.Kind == ccevent.KindReturned || event.Kind == ccevent.KindAnswered {
			cause = ccevent.Cause{Node: "a", Incarnation: 1}
		}
		if event.Cause != cause {
			t.Errorf("%s has cause %+v, want %+v", event.Kind, event.Cause, cause)
		}
	}
}

func TestEjectionEvents(t *testing.T) {
	b, ring := newRecordingTestbed(t)
	b.connectAgent("a", 1, "south", 1)
	for i := range 3 {
		b.submit(ccjob.ID(fmt.Sprint("j", i)), 1)
		b.reportAll("a", ccwire.CodeFailed, 1)
	}
	b.advance(5 * time.Second)
	b.advance(5 * time.Second)
	assertEvents(t, ring, "agentUp sent answered failed sent answered failed sent answered ejected failed readmitted")
}

func TestFailedEventHasReason(t *testing.T) {
	b, ring := newRecordingTestbed(t)
	b.submit("j", 1)
	b.advance(time.Minute)
	events := ring.After(0)
	if last := events[len(events)-1]; last.Kind != ccevent.KindFailed || last.Text != "deadline: the deadline passed (not run)" {
		t.Errorf("got %+v", last)
	}
}
