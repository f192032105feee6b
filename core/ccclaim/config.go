package ccclaim

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Limits are the settings of an Authority that operators can change.
type Limits struct {
	MaxClaims    int
	ClockMargin  time.Duration
	MaxDriveTime time.Duration
	Retention    time.Duration
}

// Configure applies changed limits.
func (a *Authority) Configure(limits Limits) {
	a.cfg.MaxClaims, a.cfg.ClockMargin = limits.MaxClaims, limits.ClockMargin
	a.cfg.MaxDriveTime, a.cfg.Retention = limits.MaxDriveTime, limits.Retention
}

// DefaultGrantTTL is how long after sending a claim the requester may start to
// use the grant, measured on the requester's clock.
const DefaultGrantTTL = 500 * time.Millisecond

// Config configures an Authority.
type Config struct {
	Self ccnode.Ref
	// MaxClaims limits the size of the claim table. When the table is full, the
	// oldest claim is evicted, or the new claim is refused if a driver may
	// still be working on the oldest.
	MaxClaims int
	// ClockMargin is the most that a client's clock may be ahead of an entry's,
	// and the most that any two clocks of the fleet may differ.
	ClockMargin time.Duration
	// GrantTTL is DefaultGrantTTL in production.
	GrantTTL time.Duration
	// MaxDriveTime is the longest time that a driver works on one claim.
	MaxDriveTime time.Duration
	// Retention is how long claims are kept.
	Retention time.Duration
	Guards    Guards
}

// Guards are the checks that prevent a job from being driven twice. Tests
// disable them one at a time to show what each is for.
type Guards struct {
	// Claims refuses a job that another entry drives.
	Claims bool
	// ProveNew treats a job as new only if the slot's state proves it.
	ProveNew bool
	// Leases grants claims only while the authority's lease is valid.
	Leases bool
	// GrantTTL rejects a grant that arrives too late, either older than the TTL
	// or after the slot was handed over.
	GrantTTL bool
	// Promises grants nothing in a slot that was handed over.
	Promises bool
}

// AllGuards returns the guards that are enabled in production.
func AllGuards() Guards {
	return Guards{Claims: true, ProveNew: true, Leases: true, GrantTTL: true, Promises: true}
}
