package ccagent

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// session is what the table knows of one entry.
type session struct {
	entry     ccnode.Ref
	number    uint64
	seen      uint64 // The greatest number of a dispatch that was handled.
	connected bool
	version   uint64 // Settings version that the entry was last seen with.
	want      int    // Tasks that the entry would send if it had slots here.
	served    int    // Offers since the entry began to want.
	offers    []time.Time
	newOffers int // Offers that no report has carried yet.
	dirty     bool
	jobs      []ccwire.ReportJob // What the next report carries.
}

// add puts the end of a task into the next report.
func (s *session) add(id ccjob.ID, claim uint64, report ccwire.TaskReport) {
	s.dirty = true
	for i := range s.jobs {
		if s.jobs[i].ID == id && s.jobs[i].Claim == claim {
			s.jobs[i].Tasks = append(s.jobs[i].Tasks, report)
			return
		}
	}
	s.jobs = append(s.jobs, ccwire.ReportJob{ID: id, Claim: claim, Tasks: []ccwire.TaskReport{report}})
}

// reset forgets what belonged to an earlier connection.
func (s *session) reset() {
	s.want, s.served, s.newOffers, s.seen, s.dirty = 0, 0, 0, 0, false
	s.offers, s.jobs = nil, nil
}

// expire drops the offers that were not used in time.
func (s *session) expire(now time.Time) {
	s.offers = slices.DeleteFunc(s.offers, func(until time.Time) bool { return !until.After(now) })
	s.newOffers = min(s.newOffers, len(s.offers))
}

// sortedSessions returns the connected sessions in the order of their IDs, so
// that the same input always gives the same output.
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
