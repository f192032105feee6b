package ccstore

import "sync/atomic"

// Counts holds the number of calls made, by method. A watch counts as one call
// however long it waits.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Swap   uint64 `json:"swap"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Grant  uint64 `json:"grant"`
	Renew  uint64 `json:"renew"`
	Revoke uint64 `json:"revoke"`
	// Failed is the number of calls that ended without a valid response from the
	// store, or that the store rejected as unavailable.
	Failed uint64 `json:"failed"`
}

// Reads returns the number of calls that do not modify the store.
func (c Counts) Reads() uint64 { return c.Get + c.List + c.Watch }

// Writes returns the number of calls that may modify the store.
func (c Counts) Writes() uint64 { return c.Swap + c.Delete + c.Grant + c.Renew + c.Revoke }

// Counters counts calls. It is safe for concurrent use, and its zero value is
// ready to use.
type Counters struct {
	get, list, swap, del, watch, grant, renew, revoke, failed atomic.Uint64
}

// Count increments the counter of the call. Unknown calls are not counted.
func (c *Counters) Count(call Call) {
	switch call {
	case CallGet:
		c.get.Add(1)
	case CallList:
		c.list.Add(1)
	case CallSwap:
		c.swap.Add(1)
	case CallDelete:
		c.del.Add(1)
	case CallWatch:
		c.watch.Add(1)
	case CallGrant:
		c.grant.Add(1)
	case CallRenew:
		c.renew.Add(1)
	case CallRevoke:
		c.revoke.Add(1)
	}
}

// Fail increments the counter of failed calls.
func (c *Counters) Fail() { c.failed.Add(1) }

// Counts returns the current values. They are loaded one by one, so a snapshot
// taken during concurrent calls may be inconsistent.
func (c *Counters) Counts() Counts {
	return Counts{
		Get:    c.get.Load(),
		List:   c.list.Load(),
		Swap:   c.swap.Load(),
		Delete: c.del.Load(),
		Watch:  c.watch.Load(),
		Grant:  c.grant.Load(),
		Renew:  c.renew.Load(),
		Revoke: c.revoke.Load(),
		Failed: c.failed.Load(),
	}
}
