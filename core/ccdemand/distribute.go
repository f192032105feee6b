package ccdemand

import "camphorcroft/core/ccresource"

// maxCredit bounds a claim's credit either way, so that an entry that was granted too little of
// a load that is over takes only this many tasks before the others.
const maxCredit = 4

// Distribute grants free capacity to claims, one task at a time: to the most urgent rows
// first, and among equally urgent ones in proportion to their tasks (smooth weighted
// round-robin).
//
// Rows that have outlasted their time come after all others: their tasks have probably been
// placed elsewhere, and the entry would use the capacity for less urgent ones.
func Distribute(free ccresource.Amount, claims []*Claim) {
	free = distribute(free, claims, true)
	distribute(free, claims, false)
}

// distribute grants what fits to fresh rows, or to all, and returns the capacity that is left.
func distribute(free ccresource.Amount, claims []*Claim, fresh bool) ccresource.Amount {
	for {
		urgent := mostUrgent(free, claims, fresh)
		if len(urgent) == 0 {
			return free
		}
		total := 0
		for _, c := range urgent {
			total += c.next(free, fresh).Tasks
		}
		best := urgent[0]
		for _, c := range urgent {
			c.Credit = min(c.Credit+float64(c.next(free, fresh).Tasks)/float64(total), maxCredit)
			if c.Credit > best.Credit {
				best = c
			}
		}
		row := best.next(free, fresh)
		free = free.Minus(row.Need)
		best.grant(row)
	}
}

// mostUrgent returns the claims whose next rows are the most urgent of all.
func mostUrgent(free ccresource.Amount, claims []*Claim, fresh bool) []*Claim {
	var urgent []*Claim
	for _, c := range claims {
		row := c.next(free, fresh)
		if row == nil {
			continue
		}
		if len(urgent) > 0 {
			switch order := Compare(*row, *urgent[0].next(free, fresh)); {
			case order > 0:
				continue
			case order < 0:
				urgent = urgent[:0]
			}
		}
		urgent = append(urgent, c)
	}
	return urgent
}
