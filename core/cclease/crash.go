package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccwire"
)

// crashRetention is how long a crash is reported to entries that open a session.
const crashRetention = 10 * time.Second

// crash is a crash of the worker.
type crash struct {
	report ccwire.CrashReport
	at     time.Time
}

// recordCrash reports a crash of the worker to all entries, with the runs that it ended. A
// worker that was about to leave has not crashed.
func (m *Manager) recordCrash(now time.Time, runs []*run) {
	if len(runs) == 0 || m.worker == nil || m.worker.Draining || m.leaving {
		return
	}
	m.crashCount++
	report := ccwire.CrashReport{Number: m.crashCount}
	for _, r := range runs {
		if r.owner.ID == "" {
			continue
		}
		report.Suspects = append(report.Suspects, ccwire.CrashSuspect{
			Task: r.task, Class: r.class, RanMS: now.Sub(r.started).Milliseconds(), Crashes: r.crashes,
		})
	}
	m.crashes = append(m.crashes, crash{report: report, at: now})
	for _, o := range m.ownerList {
		o.pendingCrashes = append(o.pendingCrashes, report)
		o.reportNow = true
	}
}

// crashesSince returns the reports of the crashes at or after a time.
func (m *Manager) crashesSince(since time.Time) []ccwire.CrashReport {
	var reports []ccwire.CrashReport
	for _, c := range m.crashes {
		if !c.at.Before(since) {
			reports = append(reports, c.report)
		}
	}
	return reports
}

// pruneCrashes drops the crashes that are no longer reported.
func (m *Manager) pruneCrashes(now time.Time) {
	m.crashes = slices.DeleteFunc(m.crashes, func(c crash) bool { return now.Sub(c.at) > crashRetention })
}
