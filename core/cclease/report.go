package cclease

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// cpuReportStep is the change of free CPU, in thousandths of a core, that is reported
// to all entries before their next periodic report.
const cpuReportStep = 1000

// minCapacityInterval is the shortest time between two reports of changed capacity
// alone, unless the entry wants a longer one.
const minCapacityInterval = 20 * time.Millisecond

// progressInterval is the minimum time since the previous report for a report to
// include the progress of the runs.
const progressInterval = 50 * time.Millisecond

// queueEnd queues the end of a run for the next report to its owner. A later incarnation of
// that entry has not ordered the run, and is not told.
func (m *Manager) queueEnd(now time.Time, entry ccnode.Ref, ended ccwire.RunResult, urgent bool) {
	o := m.owners[entry.ID]
	if o == nil || o.ref != entry {
		return
	}
	o.pendingEnds = append(o.pendingEnds, ended)
	o.recentEnds = append(o.recentEnds, recentEnd{ended: ended, at: now})
	o.reportNow = o.reportNow || urgent
}

func (m *Manager) reportAll(now time.Time) {
	for _, o := range m.ownerList {
		o.reportNow = true
	}
	m.sendDueReports(now)
}

// sendDueReports sends a report to each connected entry that has pending news, for
// which the free capacity has changed, or that got no report for maxReportInterval.
func (m *Manager) sendDueReports(now time.Time) {
	m.offerCapacity(now)
	unoffered := m.unoffered(now)
	for _, o := range m.ownerList {
		id := o.ref.ID
		if !o.connected {
			continue
		}
		age := now.Sub(o.reportedAt)
		free := unoffered.Plus(o.offered(now)).CPU
		cpuChange := free - o.reportedCPU
		if o.reportNow || age >= maxReportInterval || (age >= max(minCapacityInterval, o.capacityInterval) && (cpuChange >= cpuReportStep || cpuChange <= -cpuReportStep)) {
			report := m.newReport(now, o, age >= progressInterval)
			if o.wantsPlan {
				report.Plan = m.plan
				m.actions.Changes = append(m.actions.Changes, Change{Message: "Plan sent.", Entry: id, Count: int(m.plan.Revision)})
			}
			o.wantsPlan = false
			m.addPieces(o, &report)
			report.Crashes, o.pendingCrashes = o.pendingCrashes, nil
			if m.workerInfo != nil && o.sentInfo != m.workerInfo {
				report.Worker, o.sentInfo = m.workerInfo, m.workerInfo
			}
			if o.sentToken != m.token {
				report.Token, o.sentToken = m.token, m.token
			}
			m.actions.Reports = append(m.actions.Reports, Report{To: id, Report: report})
			o.pendingEnds, o.reportNow, o.reportedAt, o.reportedCPU = nil, false, now, free
		}
	}
}

// newReport returns a report for an entry. If o is nil, it has no data of a session.
func (m *Manager) newReport(now time.Time, o *owner, progress bool) ccwire.RunReport {
	report := ccwire.RunReport{
		ClockMS:        now.Sub(m.cfg.StartTime).Milliseconds(),
		Free:           m.freeFor(now, o),
		ClosedReason:   m.closedReasonFor(now, o),
		PriorRunsEnded: m.priorRunsEnded() && m.listedFenced(),
		Pace:           m.pace.value(),

		DomainOutRevision: m.domainOutRevision(),
	}
	if m.plan != nil {
		report.PlanRevision, report.PlanVersion = m.plan.Revision, m.plan.Version
	}
	if o == nil {
		return report
	}
	report.HandledSequence = o.handledSequence
	report.Results = o.pendingEnds
	report.Offer = o.offerInfo(now)
	if !progress {
		return report
	}
	for _, r := range m.runList {
		if r.owner == o.ref && r.phase == phaseRunning && !r.percentAt.IsZero() {
			report.Progress = append(report.Progress, ccwire.Progress{
				Task: r.task, Order: r.order, Percent: r.percent, ElapsedMS: r.percentAt.Sub(r.started).Milliseconds(),
			})
		}
	}
	return report
}
