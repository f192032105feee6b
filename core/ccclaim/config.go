package ccclaim

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Limits are the settings of an Authority that operators may change.
type Limits struct {
	MaxClaims    int
	ClockMargin  time.Duration
	MaxDriveTime time.Duration
	Retention    time.Duration
}

// Configure puts changed limits in force.
func (a *Authority) Configure(limits Limits) {
	a.cfg.MaxClaims, a.cfg.ClockMargin = limits.MaxClaims, limits.ClockMargin
	a.cfg.MaxDriveTime, a.cfg.Retention = limits.MaxDriveTime, limits.Retention
}

// DefaultGrantTTL is how long after a claim was sent its grant may be taken up,
// on the requester's clock.
const DefaultGrantTTL = 500 * time.Millisecond

// Config describes an Authority.
type Config struct {
	Self ccnode.Ref
	// MaxClaims bounds the table. At the bound the oldest claim is forgotten, or
	// the new one refused when the oldest may still be worked on.
	MaxClaims int
	// ClockMargin is how far a client's clock may be ahead of an entry's, and any
	// two clocks of the fleet apart.
	ClockMargin time.Duration
	// GrantTTL is DefaultGrantLife in production.
	GrantTTL time.Duration
	// MaxDriveTime is the longest time that a driver works on one claim.
	MaxDriveTime time.Duration
	// Retention is how long claims are remembered.
	Retention time.Duration
	Guards    Guards
}

// Guards are the checks that keep a job from being driven twice. Tests switch
// them off one by one to show what each is for.
type Guards struct {
	// Claims refuses a job that another entry drives.
	Claims bool
	// ProveNew treats a job as new only where the slot's memory proves it.
	ProveNew bool
	// Leases grants only inside the authority's lease.
	Leases bool
	// GrantTTL takes up no grant that comes too late, be it by its age or since
	// the slot was handed on.
	GrantTTL bool
	// Promises grants nothing in a slot that was handed on.
	Promises bool
}

// AllGuards returns the guards that production runs with.
func AllGuards() Guards {
	return Guards{Claims: true, ProveNew: true, Leases: true, GrantTTL: true, Promises: true}
}
