package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Dirty lists the entries that a report should go to, in the order of their IDs.
func (t *Table) Dirty() []ccnode.Ref {
	var entries []ccnode.Ref
	for _, s := range t.sortedSessions() {
		if s.dirty {
			entries = append(entries, s.entry)
		}
	}
	return entries
}

// TakeReport returns the report that is due to the entry, and whether there is
// one. Call it when the last report has been written, so that all that happened
// meanwhile goes in one message.
func (t *Table) TakeReport(now time.Time, entry ccnode.Ref) (ccwire.Report, bool) {
	t.observe(now)
	s, ok := t.sessions[entry.ID]
	if !ok || !s.connected || s.entry != entry || !s.dirty {
		return ccwire.Report{}, false
	}
	report := t.describe(now, s)
	report.Jobs = s.jobs
	s.jobs, s.newOffers, s.dirty = nil, 0, false
	return report, true
}

// Probe answers a probe. It leaves what is due to the next report.
func (t *Table) Probe(now time.Time, entry ccnode.Ref) (ccwire.Report, error) {
	t.observe(now)
	s, ok := t.sessions[entry.ID]
	if !ok || s.entry != entry {
		return ccwire.Report{}, &Error{Op: "probe", Kind: KindStaleSession}
	}
	report := t.describe(now, s)
	report.OfferedSlots = 0
	return report, nil
}

func (t *Table) describe(now time.Time, s *session) ccwire.Report {
	return ccwire.Report{
		Agent: t.cfg.Self, Session: s.number, HandledSeq: s.seen, Clock: t.Clock(now).Milliseconds(), Version: t.Version(),
		FreeSlots: t.free(s), OfferedSlots: s.newOffers, Leaving: t.leaving,
	}
}
