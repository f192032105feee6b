package ccagent

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// ReportsDue lists the entries to which a report is due, ordered by ID.
func (c *Controller) ReportsDue() []ccnode.Ref {
	var entries []ccnode.Ref
	for _, s := range c.sortedSessions() {
		if s.reportDue {
			entries = append(entries, s.entry)
		}
	}
	return entries
}

// TakeReport returns the report that is due to the entry, and whether there is
// one. Call it after the last report has been written, so that everything that
// happened in the meantime is sent in one message.
func (c *Controller) TakeReport(now time.Time, entry ccnode.Ref) (ccwire.Report, bool) {
	c.advanceClock(now)
	s, ok := c.sessions[entry.ID]
	if !ok || !s.connected || s.entry != entry || !s.reportDue {
		return ccwire.Report{}, false
	}
	report := c.newReport(now, s)
	report.Jobs = s.reportJobs
	s.reportJobs, s.unreportedOffers, s.reportDue = nil, 0, false
	return report, true
}

// Probe answers a probe. Task results and offers that are due stay for the next
// report. The error is an *Error of KindStaleSession.
func (c *Controller) Probe(now time.Time, entry ccnode.Ref) (ccwire.Report, error) {
	c.advanceClock(now)
	s, ok := c.sessions[entry.ID]
	if !ok || s.entry != entry {
		return ccwire.Report{}, &Error{Op: "probe", Kind: KindStaleSession}
	}
	report := c.newReport(now, s)
	report.OfferedSlots = 0
	return report, nil
}

func (c *Controller) newReport(now time.Time, s *session) ccwire.Report {
	return ccwire.Report{
		Agent: c.cfg.Self, Session: s.number, HandledSeq: s.handledSeq, Clock: c.Clock(now).Milliseconds(), Version: c.Version(),
		FreeSlots: c.freeSlots(s), OfferedSlots: s.unreportedOffers, Leaving: c.leaving,
	}
}
