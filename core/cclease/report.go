package cclease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// freeStep is the change of free processor room, in thousandths of a core, that
// is told to all entries before their next report is due.
const freeStep = 1000

// freeInterval is the shortest pause between two reports about room alone, unless
// the entry wants a longer one.
const freeInterval = 20 * time.Millisecond

// progressInterval is the shortest pause between two reports before the later
// one tells how far each run has come.
const progressInterval = 50 * time.Millisecond

// ended keeps an end for its owner's next report.
func (t *Table) ended(now time.Time, entry ccnode.ID, ended ccwire.RunResult, urgent bool) {
	o := t.owners[entry]
	if o == nil {
		return
	}
	o.ends = append(o.ends, ended)
	o.sentEnds = append(o.sentEnds, sentEnd{ended: ended, at: now})
	o.urgent = o.urgent || urgent
}

func (t *Table) reportAll(now time.Time) {
	for _, o := range t.entries {
		o.urgent = true
	}
	t.reportDue(now)
}

// reportDue reports to each entry that is owed an end, a change of room or a
// sign of life.
func (t *Table) reportDue(now time.Time) {
	for _, o := range t.entries {
		id := o.ref.ID
		if !o.connected {
			continue
		}
		age := now.Sub(o.reported)
		moved := t.Free().CPU - o.free
		if o.urgent || age >= reportInterval || (age >= max(freeInterval, o.roomInterval) && (moved >= freeStep || moved <= -freeStep)) {
			report := t.reportFor(now, o, age >= progressInterval)
			if t.plan != nil && o.revision < t.plan.Revision && now.Sub(t.planSince) >= t.planDelay(id) {
				report.Plan = t.plan
				o.revision = t.plan.Revision
			}
			if t.info != nil && o.told != t.info {
				report.Worker, o.told = t.info, t.info
			}
			t.out.Reports = append(t.out.Reports, Report{To: id, Report: report})
			o.ends, o.urgent, o.reported, o.free = nil, false, now, t.Free().CPU
		}
	}
}

// planDelay is how long the agent waits before it sends a plan to an entry, which
// most likely has it from the store and says so in its next orders. It differs
// from pair to pair, so that an entry without the store gets few copies.
func (t *Table) planDelay(entry ccnode.ID) time.Duration {
	return planDelayMin + time.Duration((xxhash.Sum64String(string(entry))^t.cfg.Token)%planSteps)*planStep
}

// planDelayMin is one report and one heartbeat; planSteps and planStep spread the
// rest over 375 ms. A plan is to be in force 2 s after its acceptance.
const (
	planDelayMin = 300 * time.Millisecond
	planSteps    = 16
	planStep     = 25 * time.Millisecond
)

// reportFor returns the report for an entry, which may be nil.
func (t *Table) reportFor(now time.Time, o *owner, progress bool) ccwire.RunReport {
	report := ccwire.RunReport{
		ClockMS:        now.Sub(t.cfg.Now).Milliseconds(),
		Free:           t.Free(),
		ClosedReason:   t.closedReason(now),
		PriorRunsEnded: t.settled(),
		Pace:           t.pace.value(),
	}
	if t.plan != nil {
		report.PlanRevision = t.plan.Revision
	}
	if o == nil {
		return report
	}
	report.HandledSequence = o.handled
	report.Results = o.ends
	if !progress {
		return report
	}
	for _, r := range t.order {
		if r.owner == o.ref.ID && r.phase == phaseRunning && !r.sampled.IsZero() {
			report.Progress = append(report.Progress, ccwire.Progress{
				Task: r.task, Percent: r.percent, ElapsedMS: r.sampled.Sub(r.started).Milliseconds(),
			})
		}
	}
	return report
}
