package ccagent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// session is the state of one entry's session.
type session struct {
	entry            ccnode.Ref
	number           uint64
	handledSeq       uint64 // The greatest Seq of the dispatches that were handled.
	connected        bool
	version          uint64      // The newest settings version that the entry has sent.
	wantSlots        int         // How many more tasks the entry would send if the agent had slots.
	offerCount       int         // Offers since the entry began to request slots, counted from minOfferCount.
	offers           []time.Time // When each offer expires.
	unreportedOffers int         // Offers that no report has carried yet.
	reportDue        bool
	reportJobs       []ccwire.ReportJob // The task results for the next report.
}

// addReport adds a task's state to the next report.
func (s *session) addReport(id ccjob.ID, claim uint64, report ccwire.TaskReport) {
	s.reportDue = true
	for i := range s.reportJobs {
		if s.reportJobs[i].ID == id && s.reportJobs[i].Claim == claim {
			s.reportJobs[i].Tasks = append(s.reportJobs[i].Tasks, report)
			return
		}
	}
	s.reportJobs = append(s.reportJobs, ccwire.ReportJob{ID: id, Claim: claim, Tasks: []ccwire.TaskReport{report}})
}

// reset drops the state that belongs to an earlier connection.
func (s *session) reset() {
	s.wantSlots, s.offerCount, s.unreportedOffers, s.handledSeq, s.reportDue = 0, 0, 0, 0, false
	s.offers, s.reportJobs = nil, nil
}

// expireOffers drops the offers that have expired unused.
func (s *session) expireOffers(now time.Time) {
	s.offers = slices.DeleteFunc(s.offers, func(until time.Time) bool { return !until.After(now) })
	s.unreportedOffers = min(s.unreportedOffers, len(s.offers))
}

// sortedSessions returns the connected sessions ordered by entry ID, so that the
// same input always gives the same output.
func (c *Controller) sortedSessions() []*session {
	sorted := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		if s.connected {
			sorted = append(sorted, s)
		}
	}
	slices.SortFunc(sorted, func(a, b *session) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	return sorted
}
