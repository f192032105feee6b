package ccagent

import "time"

// offer holds free slots for entries that want to send. An entry whose report
// goes out anyway is preferred, as long as it is not far ahead of the others.
func (c *Controller) offer(now time.Time, preferred *session) {
	if c.Closed() {
		return
	}
	for c.free(nil) > 0 {
		next := c.nextWanting(preferred)
		if next == nil {
			return
		}
		next.want--
		next.served++
		next.newOffers++
		next.dirty = true
		next.offers = append(next.offers, now.Add(offerHold))
	}
}

// nextWanting returns the entry that gets the next offer, or nil.
func (c *Controller) nextWanting(preferred *session) *session {
	var next *session
	for _, s := range c.sortedSessions() {
		if s.want > 0 && (next == nil || s.served < next.served) {
			next = s
		}
	}
	if next == nil || preferred == nil || preferred.want == 0 || !preferred.connected {
		return next
	}
	if preferred.served-next.served <= offerLead {
		return preferred
	}
	return next
}

// leastServed returns where an entry that begins to want stands in turn, so that
// it neither waits for the others' past nor gets ahead of them.
func (c *Controller) leastServed() int {
	least, found := 0, false
	for _, s := range c.sessions {
		if s.connected && s.want > 0 && (!found || s.served < least) {
			least, found = s.served, true
		}
	}
	return least
}
