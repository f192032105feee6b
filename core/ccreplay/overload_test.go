package ccreplay

import (
	"testing"
	"time"
)

func TestOverloadedEntry(t *testing.T) {
	t.Run("refuses new jobs at once as not run while it is late", func(t *testing.T) {
		f := newLateFixture(t, 500*time.Millisecond)
		f.take()
		token := f.submit("j1", 1)
		out := f.take()
		f.wantAnswer(out, token, StateRefused)
		f.wantStarts(out, 0)
	})
	t.Run("asks for its callers to be sent elsewhere, and takes it back once it is on time", func(t *testing.T) {
		f := newLateFixture(t, 500*time.Millisecond)
		if !f.s.Overloaded() {
			t.Error("after 1 s of lateness: got not overloaded")
		}
		f.runLate(50, 0)
		if !f.s.Overloaded() {
			t.Error("after 0.5 s on time: got not overloaded, want a delay")
		}
		f.runLate(100, 0)
		if f.s.Overloaded() {
			t.Error("after 1.5 s on time: got overloaded")
		}
	})
	t.Run("accepts jobs soon after a pause", func(t *testing.T) {
		f := newLateFixture(t, 0)
		f.advance(2500 * time.Millisecond)
		f.runLate(30, 0)
		f.take()
		f.submit("j1", 1)
		f.wantStarts(f.take(), 1)
	})
}
