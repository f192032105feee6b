package ccclock

import (
	"testing"
	"time"
)

func TestWoke(t *testing.T) {
	s := NewSuspendDetector()
	if s.Resumed() {
		t.Error("a suspension is found while there was none")
	}
	// The boot clock ran on for a second that the steady clock lacks.
	s.boot -= time.Second
	if !s.Resumed() {
		t.Error("a suspension of a second is not found")
	}
	if s.Resumed() {
		t.Error("a suspension is found twice")
	}
}
