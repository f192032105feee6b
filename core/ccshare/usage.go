package ccshare

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time in which recorded use loses half its weight. Callers wait
	// 1.5 s, so a route that held more than its share yields it to callers who still wait.
	usageHalfLife = 500 * time.Millisecond
	// usageForgottenAfter is when a route without use is deleted: what is left of its use
	// is under a thousandth.
	usageForgottenAfter = 10 * usageHalfLife
)

// usage is an amount of work that loses weight with age.
type usage struct {
	amount float64 // In core-seconds.
	at     time.Time
}

// value returns what is left of the amount.
func (u *usage) value(now time.Time) float64 {
	return u.amount * math.Exp2(-float64(now.Sub(u.at))/float64(usageHalfLife))
}

func (u *usage) add(now time.Time, amount float64) { u.amount, u.at = u.value(now)+amount, now }
