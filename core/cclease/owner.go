package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// owner is an entry as this agent knows it.
type owner struct {
	ref       ccnode.Ref
	connected bool
	// heard is the agent's own time of the latest clock that the entry has echoed.
	heard    time.Time
	handled  uint64
	revision uint64 // Of the plan that the entry has.
	told     *ccwire.WorkerInfo
	ends     []ccwire.RunResult
	sentEnds []sentEnd
	reported time.Time
	urgent   bool
	free     int64 // The processor room in the last report.
	// roomInterval is the shortest pause between reports about room that it wants.
	roomInterval time.Duration
}

// sentEnd is an end that was reported, kept for an entry that reconnects.
type sentEnd struct {
	ended ccwire.RunResult
	at    time.Time
}

func (o *owner) forget(now time.Time) {
	kept := o.sentEnds[:0]
	for _, sent := range o.sentEnds {
		if now.Sub(sent.at) <= lateAnswers {
			kept = append(kept, sent)
		}
	}
	o.sentEnds = kept
}

// Attachment returns what the agent says to open a session with an entry. The
// entry's earlier session ends with it.
func (t *Table) Attachment(now time.Time, self ccnode.Ref, entry ccnode.ID) ccwire.Attach {
	attach := ccwire.Attach{Node: self, Runs: []ccwire.TaskRef{}}
	o := t.owners[entry]
	if o != nil {
		for _, r := range t.order {
			if r.owner == entry {
				attach.Runs = append(attach.Runs, r.task)
			}
		}
	}
	attach.Report = t.reportFor(now, o, false)
	attach.Report.Worker = t.info
	if o != nil {
		attach.Report.Results = nil
		o.ends = nil // They are among those sent before.
		for _, sent := range o.sentEnds {
			attach.Report.Results = append(attach.Report.Results, sent.ended)
		}
	}
	return attach
}

// Attached opens a session that the agent asked for at the time asked. The runs
// of an earlier incarnation of the entry are stopped.
func (t *Table) Attached(now time.Time, entry ccnode.Ref, asked time.Time) {
	o := t.owners[entry.ID]
	if o == nil || o.ref != entry {
		if o != nil {
			t.stopOwned(now, entry.ID, "entry has a new incarnation")
		}
		t.entries = slices.DeleteFunc(t.entries, func(other *owner) bool { return other == o })
		o = &owner{ref: entry}
		t.owners[entry.ID] = o
		t.entries = append(t.entries, o)
	}
	o.connected = true
	o.heard = asked
	o.handled = 0
	o.urgent = true
	o.told = nil
	t.out.Changes = append(t.out.Changes, Change{What: "Session opened.", Entry: entry.ID})
	t.reportDue(now)
}

// Detached tells that the session has ended. The entry's runs go on until it has
// been silent for OwnerSilence.
func (t *Table) Detached(entry ccnode.ID) {
	if o := t.owners[entry]; o != nil && o.connected {
		o.connected = false
		t.out.Changes = append(t.out.Changes, Change{What: "Session closed.", Entry: entry})
	}
}

// Connected reports whether a session with the entry is open.
func (t *Table) Connected(entry ccnode.ID) bool {
	o := t.owners[entry]
	return o != nil && o.connected
}

// Woke tells that the process was paused and that the time passed to the table
// does not show it: the entries have been silent for longer than it seems.
func (t *Table) Woke(now time.Time) {
	t.out.Changes = append(t.out.Changes, Change{What: "Process was paused.", Count: len(t.order)})
	for _, o := range t.entries {
		o.heard = now.Add(-2 * OwnerSilence)
	}
	t.dropSilentOwners(now)
}

// dropSilentOwners stops the runs of entries that have not been heard in time.
func (t *Table) dropSilentOwners(now time.Time) {
	for _, o := range t.entries {
		id := o.ref.ID
		age := now.Sub(o.heard)
		if age > OwnerSilence {
			t.stopOwnedAged(now, id, "entry is silent", age)
		}
		if o.connected && age > sessionSilence {
			t.out.Silent = append(t.out.Silent, id)
			t.Detached(id)
		}
	}
}

func (t *Table) stopOwned(now time.Time, entry ccnode.ID, reason string) {
	t.stopOwnedAged(now, entry, reason, 0)
}

func (t *Table) stopOwnedAged(now time.Time, entry ccnode.ID, reason string, age time.Duration) {
	n := 0
	for _, r := range t.order {
		if r.owner == entry && r.stopFrom.IsZero() {
			t.stop(now, r)
			n++
		}
	}
	if n > 0 {
		t.out.Changes = append(t.out.Changes, Change{What: "Runs stopped.", Entry: entry, Reason: reason, Age: age, Count: n})
	}
}
