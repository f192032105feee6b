package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// ReportsDue lists the entries that a report should go to, in the order of their IDs.
func (c *Controller) ReportsDue() []ccnode.Ref {
	var entries []ccnode.Ref
	for _, s := range c.sortedSessions() {
		if s.dirty {
			entries = append(entries, s.entry)
		}
	}
	return entries
}

// TakeReport returns the report that is due to the entry, and whether there is
// one. Call it when the last report has been written, so that all that happened
// meanwhile goes in one message.
func (c *Controller) TakeReport(now time.Time, entry ccnode.Ref) (ccwire.Report, bool) {
	c.observe(now)
	s, ok := c.sessions[entry.ID]
	if !ok || !s.connected || s.entry != entry || !s.dirty {
		return ccwire.Report{}, false
	}
	report := c.describe(now, s)
	report.Jobs = s.jobs
	s.jobs, s.newOffers, s.dirty = nil, 0, false
	return report, true
}

// Probe answers a probe. It leaves what is due to the next report.
func (c *Controller) Probe(now time.Time, entry ccnode.Ref) (ccwire.Report, error) {
	c.observe(now)
	s, ok := c.sessions[entry.ID]
	if !ok || s.entry != entry {
		return ccwire.Report{}, &Error{Op: "probe", Kind: KindStaleSession}
	}
	report := c.describe(now, s)
	report.OfferedSlots = 0
	return report, nil
}

func (c *Controller) describe(now time.Time, s *session) ccwire.Report {
	return ccwire.Report{
		Agent: c.cfg.Self, Session: s.number, HandledSeq: s.seen, Clock: c.Clock(now).Milliseconds(), Version: c.Version(),
		FreeSlots: c.free(s), OfferedSlots: s.newOffers, Leaving: c.leaving,
	}
}
