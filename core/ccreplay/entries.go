package ccreplay

import (
	"net/netip"
	"slices"

	"camphorcroft/core/ccsubset"
	"camphorcroft/core/ccwire"
)

// SetEntries sets the entries that have a record in the store. Agents are told with their
// next messages.
func (s *Scheduler) SetEntries(entries []ccsubset.Entry) {
	joined := missingFrom(s.entries, entries)
	var left []netip.AddrPort
	for _, e := range missingFrom(entries, s.entries) {
		if !slices.ContainsFunc(entries, func(other ccsubset.Entry) bool { return other.Addr == e.Addr }) {
			left = append(left, e.Addr)
		}
	}
	s.entries = entries
	if len(joined) == 0 && len(left) == 0 {
		return
	}
	for _, a := range s.agentList {
		if !a.attached {
			continue
		}
		a.orders.EntriesJoined = append(a.orders.EntriesJoined, joined...)
		a.orders.EntriesLeft = append(a.orders.EntriesLeft, left...)
	}
}

// missingFrom returns the entries of list that are not in known.
func missingFrom(known, list []ccsubset.Entry) []ccsubset.Entry {
	var missing []ccsubset.Entry
	for _, e := range list {
		if !slices.Contains(known, e) {
			missing = append(missing, e)
		}
	}
	return missing
}

// addEntries adds to an agent's orders what it must learn of the entries. An entry may
// have left and joined again since the last message, so those that left are checked.
func (s *Scheduler) addEntries(a *agent, orders *ccwire.Orders) {
	if !a.entriesSent {
		a.entriesSent = true
		orders.Entries, orders.EntriesJoined, orders.EntriesLeft = s.entries, nil, nil
		return
	}
	orders.EntriesLeft = slices.DeleteFunc(orders.EntriesLeft, func(addr netip.AddrPort) bool {
		return slices.ContainsFunc(s.entries, func(e ccsubset.Entry) bool { return e.Addr == addr })
	})
}
