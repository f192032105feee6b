package ccagent

import (
	"fmt"
	"time"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// control is the goroutine that owns the table.
func (a *Agent) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case work := <-a.mailbox:
			work(time.Now())
		case <-ticker.C:
			a.table.Tick(time.Now())
		}
		a.settle(time.Now())
	}
}

// settle sends what is due after each step.
func (a *Agent) settle(now time.Time) {
	if pause, ok := a.table.TakePause(); ok {
		a.stats.pauses.Add(1)
		a.ring.Record(now, ccevent.Event{Kind: ccevent.KindPaused, Index: ccevent.NoIndex, Domain: a.cfg.Domain, Text: fmt.Sprintf("paused for %s", pause.Round(time.Millisecond))})
		a.log.Info("Process was paused.", "pause", pause)
	}
	a.stepCells(now)
	a.carryOut(now, a.table.TakeQueueResult())
	for _, entry := range a.table.ReportsDue() {
		a.sendReport(now, entry)
	}
	a.stats.running.Set(int64(a.table.Running()))
	a.stats.marks.Set(int64(a.table.Records()))
	a.stats.resultBytes.Set(int64(a.table.ResultBytes()))
	a.stats.slots.Set(int64(a.table.Slots()))
	a.noteVersion(now)
	if a.drained != nil && a.isDrained(now) {
		close(a.drained)
		a.drained = nil
	}
}

// isDrained reports whether an agent that leaves has nothing left to do: no
// task runs, all reports are written, and no entry has sent work for a while.
func (a *Agent) isDrained(now time.Time) bool {
	if a.table.Running() > 0 || len(a.table.ReportsDue()) > 0 || now.Sub(a.lastDispatch) < quietTime {
		return false
	}
	for _, l := range a.links {
		if l.busy {
			return false
		}
	}
	return true
}

// sendReport writes what is due to the entry, unless the last write is still
// under way; then the next report takes it along.
func (a *Agent) sendReport(now time.Time, entry ccnode.Ref) {
	l, ok := a.byEntry[entry]
	if !ok || l.busy {
		return
	}
	report, ok := a.table.TakeReport(now, entry)
	if !ok {
		return
	}
	report.Cause = a.ring.Newest()
	l.busy = true
	a.stats.reports.Add(1)
	a.stats.offers.Add(int64(report.OfferedSlots))
	if !l.send(func() {
		_ = l.peer.Notify(a.ctx, ccwire.MethodReport, report)
		a.post(func(time.Time) { l.busy = false })
	}) {
		l.peer.Close()
	}
}

// dispatch starts what the table lets start.
func (a *Agent) dispatch(now time.Time, l *link, msg ccwire.Dispatch) {
	a.lastDispatch = now
	a.stats.dispatches.Add(1)
	result := a.table.Dispatch(now, l.entry, msg)
	if result.Ignored {
		a.stats.ignored.Add(1)
		return
	}
	a.carryOut(now, result)
}

// carryOut runs what starts, and records what starts and what doesn't.
func (a *Agent) carryOut(now time.Time, result ccagent.DispatchResult) {
	for _, bounce := range result.Bounced {
		a.stats.bounced.Add(string(bounce.Code), 1)
		a.ring.Record(now, ccevent.Event{
			Kind: ccevent.KindBounced, Job: bounce.Job, Index: bounce.Index, Claim: bounce.Claim,
			Domain: a.cfg.Domain, Peer: bounce.From.ID, Cause: causeOf(bounce.From, bounce.Cause), Text: string(bounce.Code),
		})
	}
	for _, start := range result.Starts {
		a.stats.started.Add(1)
		a.ring.Record(now, ccevent.Event{
			Kind: ccevent.KindStarted, Job: start.Job, Index: start.Index, Claim: start.Claim,
			Domain: a.cfg.Domain, Peer: start.From.ID, Cause: causeOf(start.From, start.Cause),
		})
		a.run(start)
	}
}

func causeOf(entry ccnode.Ref, seq uint64) ccevent.Cause {
	return ccevent.Cause{Node: entry.ID, Incarnation: entry.Incarnation, Seq: seq}
}

// run gives a task to the target in a goroutine of its own. There are never
// more of them than slots.
func (a *Agent) run(start ccagent.Start) {
	a.goRun(func() {
		end := a.runner.run(a.ctx, start)
		a.post(func(now time.Time) { a.finished(now, end) })
	})
}

func (a *Agent) finished(now time.Time, end ccagent.TaskResult) {
	a.stats.finished.Add(string(end.Code), 1)
	a.ring.Record(now, ccevent.Event{
		Kind: ccevent.KindFinished, Job: end.Job, Index: end.Index, Claim: end.Claim,
		Domain: a.cfg.Domain, Text: string(end.Code),
	})
	a.table.TaskFinished(now, end)
}
