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

// Guards against events that are handled as if there had been no suspension, before the first
// timer after it.
func TestResumedAt(t *testing.T) {
	detector := NewSuspendDetector()
	if detector.ResumedAt(time.Now()) {
		t.Error("ResumedAt reported a suspension that did not happen")
	}
	detector.boot -= time.Second
	detector.timeOfDay = detector.timeOfDay.Add(-time.Second)
	if !detector.ResumedAt(time.Now()) {
		t.Error("ResumedAt did not report a suspension of one second")
	}
	if detector.ResumedAt(time.Now()) {
		t.Error("ResumedAt reported the same suspension twice")
	}
	detector.timeOfDay = detector.timeOfDay.Add(-time.Second)
	if detector.ResumedAt(time.Now()) {
		t.Error("ResumedAt took a change of the time of day for a suspension")
	}
	detector.boot -= time.Second
	if detector.ResumedAt(time.Now()) || !detector.Resumed() {
		t.Error("Resumed did not report a suspension that the time of day doesn't show")
	}
}
