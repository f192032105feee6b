package cclease

import (
	"time"

	"camphorcroft/core/ccdemand"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

const (
	// offerBackoff is how long an entry gets no offer after it has used nothing of one and
	// still demands capacity for the same jobs: it waits for faster workers, or for workers
	// that don't have a task of the job yet.
	offerBackoff = 20 * time.Millisecond
	// answerTime is how long an entry takes to answer an offer: twice the latency between
	// failure domains and a little processing. Later, an entry gets no further capacity
	// beside an offer that it has not answered.
	answerTime = 5 * time.Millisecond
	// summaryLogInterval is the shortest time between two log lines for ignored summaries.
	summaryLogInterval = time.Second
)

// setSummary records the summary in an entry's orders, and ends an offer that the entry had
// received when it sent them.
func (m *Manager) setSummary(now time.Time, o *owner, orders ccwire.Orders) {
	had := o.summary != nil
	o.summary = nil
	if o.demand != nil && len(orders.Summary) > 0 {
		rows, err := ccdemand.Decode(orders.Summary)
		if err != nil {
			m.recordIgnoredSummary(now, o, err)
		}
		o.summary = rows
	}
	if !had || o.offer.until.IsZero() || orders.EchoMS < o.offer.clockMS {
		return
	}
	if !o.offer.used && len(o.summary) > 0 && ccdemand.Compare(o.summary[0], o.offer.level) <= 0 {
		o.offersFrom = now.Add(offerBackoff)
	}
	o.offer = offer{}
}

// recordIgnoredSummary records a summary that makes no sense. The entry's demand counts as if
// it had sent none.
func (m *Manager) recordIgnoredSummary(now time.Time, o *owner, err error) {
	m.summariesUnlogged++
	c := Change{Message: "Demand summary ignored.", Entry: o.ref.ID, Reason: err.Error(), Count: m.summariesUnlogged, Quiet: true}
	if m.summaryLoggedAt.IsZero() || now.Sub(m.summaryLoggedAt) >= summaryLogInterval {
		c.Quiet, m.summariesUnlogged, m.summaryLoggedAt = false, 0, now
	}
	m.actions.Changes = append(m.actions.Changes, c)
}

// mayBeOffered reports whether an entry may get an offer. One without a summary gets one at a
// time.
func (o *owner) mayBeOffered(now time.Time) bool {
	if o.offer.until.IsZero() {
		return o.summary == nil || !now.Before(o.offersFrom)
	}
	return o.summary != nil && now.Sub(o.offer.since) <= answerTime
}

// distribute offers capacity to the entries by what waits at each.
func (m *Manager) distribute(now time.Time, free ccresource.Amount, demanding []*owner) {
	claims := make([]*ccdemand.Claim, len(demanding))
	for i, o := range demanding {
		claims[i] = &ccdemand.Claim{Rows: o.rows(), Age: now.Sub(o.demandAt), Limit: maxOfferedTasks, Credit: o.credit}
	}
	ccdemand.Distribute(free, claims)
	for i, o := range demanding {
		c := claims[i]
		o.credit = c.Credit
		if c.Granted == (ccresource.Amount{}) {
			continue
		}
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Capacity offered.", Entry: o.ref.ID, Quiet: true})
		if o.offer.until.IsZero() {
			o.offer = offer{since: now, level: c.Level}
		} else if ccdemand.Compare(c.Level, o.offer.level) > 0 {
			o.offer.level = c.Level
		}
		o.offer.amount, o.offer.until = o.offer.amount.Plus(c.Granted), now.Add(offerTimeout)
		o.offer.clockMS, o.reportNow = now.Sub(m.cfg.StartTime).Milliseconds(), true
	}
}

// rows returns what waits at an entry. Without a summary, it is what its demand says. That
// counts for as long as the demand.
func (o *owner) rows() []ccdemand.Row {
	if o.summary != nil {
		return o.summary
	}
	return []ccdemand.Row{{
		Late: o.demand.Late, Priority: o.demand.Priority, Tasks: min(o.demand.Tasks, maxOfferedTasks), Need: o.demand.Need, Lasts: demandTimeout,
	}}
}

// offerInfo returns what an entry that sends summaries is told of its offer, or nil.
func (o *owner) offerInfo(now time.Time) *ccwire.Offer {
	if o.summary == nil || o.offered(now) == (ccresource.Amount{}) {
		return nil
	}
	return &ccwire.Offer{Late: o.offer.level.Late, Priority: o.offer.level.Priority}
}
