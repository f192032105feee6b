package ccclock

import (
	"testing"
	"time"
)

func TestResumed(t *testing.T) {
	detector := NewSuspendDetector()
	if detector.Resumed() {
		t.Error("Resumed reported a suspension that did not happen")
	}
	// Simulates a suspension: the boot clock advances one second more than the monotonic clock.
	detector.boot -= time.Second
	if !detector.Resumed() {
		t.Error("Resumed did not report a suspension of one second")
	}
	if detector.Resumed() {
		t.Error("Resumed reported the same suspension twice")
	}
}
