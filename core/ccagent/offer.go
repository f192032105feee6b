package ccagent

import "time"

// offerSlots reserves free slots for entries that have requested some. The
// preferred entry, to which a report is sent anyway, comes first unless it is more
// than maxOfferSurplus offers ahead.
func (c *Controller) offerSlots(now time.Time, preferred *session) {
	if c.Closed() {
		return
	}
	for c.freeSlots(nil) > 0 {
		next := c.nextForOffer(preferred)
		if next == nil {
			return
		}
		next.wantSlots--
		next.offerCount++
		next.unreportedOffers++
		next.reportDue = true
		next.offers = append(next.offers, now.Add(offerTTL))
	}
}

// nextForOffer returns the session that gets the next offer, or nil if none has
// requested a slot.
func (c *Controller) nextForOffer(preferred *session) *session {
	var next *session
	for _, s := range c.sortedSessions() {
		if s.wantSlots > 0 && (next == nil || s.offerCount < next.offerCount) {
			next = s
		}
	}
	if next == nil || preferred == nil || preferred.wantSlots == 0 || !preferred.connected {
		return next
	}
	if preferred.offerCount-next.offerCount <= maxOfferSurplus {
		return preferred
	}
	return next
}

// minOfferCount returns the offer count at which an entry starts when it begins to
// request slots: the least count of the entries that already do, so that it
// neither waits for them to catch up with its earlier offers nor gets ahead of
// them.
func (c *Controller) minOfferCount() int {
	least, found := 0, false
	for _, s := range c.sessions {
		if s.connected && s.wantSlots > 0 && (!found || s.offerCount < least) {
			least, found = s.offerCount, true
		}
	}
	return least
}
