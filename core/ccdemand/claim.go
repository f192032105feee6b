package ccdemand

import (
	"slices"
	"time"

	"camphorcroft/core/ccresource"
)

// Claim is what one entry asks of an agent.
type Claim struct {
	Rows []Row // In the order of their urgency. Distribute takes the granted tasks from them.
	// Age is how old the rows are.
	Age time.Duration
	// Limit is the largest number of tasks to grant.
	Limit int
	// Credit is how many tasks the entry has been granted too few so far, over all calls.
	Credit float64
	// Granted is the capacity that Distribute has granted, and Level the least urgent row of
	// which it has granted a task.
	Granted ccresource.Amount
	Level   Row
}

// next returns the most urgent row of the claim with a task that fits, or nil. If fresh is
// set, rows that have outlasted their time are left out.
func (c *Claim) next(free ccresource.Amount, fresh bool) *Row {
	if c.Limit <= 0 {
		return nil
	}
	at := slices.IndexFunc(c.Rows, func(r Row) bool { return r.Tasks > 0 && (!fresh || c.Age <= r.Lasts) && r.Need.Fits(free) })
	if at < 0 {
		return nil
	}
	return &c.Rows[at]
}

// grant takes one task from a row of the claim.
func (c *Claim) grant(row *Row) {
	if c.Granted == (ccresource.Amount{}) || Compare(*row, c.Level) > 0 {
		c.Level = *row
	}
	c.Granted = c.Granted.Plus(row.Need)
	c.Credit = max(c.Credit-1, -maxCredit)
	c.Limit--
	row.Tasks--
}
