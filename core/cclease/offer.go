package cclease

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccdemand"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccwire"
)

const (
	// offerTimeout is how long capacity is reserved for an entry that was offered it: two
	// messages between failure domains and the entry's scheduling.
	offerTimeout = 20 * time.Millisecond
	// maxOfferedTasks limits the tasks for which capacity is offered to one entry at once.
	maxOfferedTasks = 64
	// demandTimeout is how long an entry's demand counts without a further message, a
	// little more than the interval of its heartbeats.
	demandTimeout = 330 * time.Millisecond
)

// offer is capacity that is reserved for one entry.
type offer struct {
	amount ccresource.Amount
	until  time.Time
	// since and clockMS are the time of the first and the agent's clock at the last grant,
	// and level is the least urgent row of the entry's summary that capacity was granted to.
	since   time.Time
	clockMS int64
	level   ccdemand.Row
	used    bool // A start has used a part of it.
}

// unoffered returns the free capacity that is not reserved for any entry.
func (m *Manager) unoffered(now time.Time) ccresource.Amount {
	free := m.Free()
	for _, o := range m.ownerList {
		free = free.Minus(o.offered(now))
	}
	return free
}

// freeFor returns the free capacity that is not reserved for other entries. The owner may
// be nil.
func (m *Manager) freeFor(now time.Time, o *owner) ccresource.Amount {
	if o == nil {
		return m.unoffered(now)
	}
	return m.unoffered(now).Plus(o.offered(now))
}

// offered returns the capacity that is reserved for the entry.
func (o *owner) offered(now time.Time) ccresource.Amount {
	if !now.Before(o.offer.until) {
		return ccresource.Amount{}
	}
	return o.offer.amount
}

// setDemand records what an entry would start if it had the capacity. A demand that makes
// no sense is ignored.
func (m *Manager) setDemand(now time.Time, o *owner, demand *ccwire.Demand) {
	if demand != nil && (demand.Need.CPU < 0 || demand.Need.Memory < 0 || demand.Need.Accelerators < 0) {
		demand = nil
	}
	o.demand, o.demandAt = demand, now
	if demand == nil {
		o.offer = offer{}
	}
}

// offerCapacity reserves free capacity for the entries with the most urgent demands. An
// entry that used nothing of its last offer gets none until it sends its demand again.
func (m *Manager) offerCapacity(now time.Time) {
	if m.closedReason(now) != "" {
		return
	}
	var demanding []*owner
	free, summaries := m.Free(), false
	for _, o := range m.ownerList {
		if !o.offer.until.IsZero() && !now.Before(o.offer.until) {
			o.offer, o.demand, o.summary = offer{}, nil, nil
		}
		free = free.Minus(o.offer.amount)
		if o.connected && !o.retiring && o.demand != nil && o.mayBeOffered(now) && now.Sub(o.demandAt) <= demandTimeout {
			demanding, summaries = append(demanding, o), summaries || o.summary != nil
		}
	}
	if summaries {
		m.distribute(now, free, demanding)
		return
	}
	slices.SortStableFunc(demanding, func(a, b *owner) int { return compareDemands(a.demand, b.demand) })
	for _, o := range demanding {
		offered := ccresource.Amount{}
		for range min(o.demand.Tasks, maxOfferedTasks) {
			if !o.demand.Need.Fits(free) {
				break
			}
			free, offered = free.Minus(o.demand.Need), offered.Plus(o.demand.Need)
		}
		if offered != (ccresource.Amount{}) {
			o.offer, o.reportNow = offer{amount: offered, until: now.Add(offerTimeout)}, true
		}
	}
}

// compareDemands orders demands by urgency, the most urgent first.
func compareDemands(a, b *ccwire.Demand) int {
	if a.Late != b.Late {
		if b.Late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.SlackMS, b.SlackMS))
}

// useOffer takes capacity that a start needs from the entry's offer.
func (o *owner) useOffer(need ccresource.Amount) {
	o.offer.used = true
	left := o.offer.amount.Minus(need)
	if left.CPU <= 0 {
		o.offer = offer{}
		return
	}
	o.offer.amount = left
}
