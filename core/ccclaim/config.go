package ccclaim

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Limits are the settings of an Authority that operators may change.
type Limits struct {
	MaxClaims   int
	ClockMargin time.Duration
	DriveLife   time.Duration
	Retention   time.Duration
}

// Configure puts changed limits in force.
func (a *Authority) Configure(limits Limits) {
	a.cfg.MaxClaims, a.cfg.ClockMargin = limits.MaxClaims, limits.ClockMargin
	a.cfg.DriveLife, a.cfg.Retention = limits.DriveLife, limits.Retention
}

// DefaultGrantLife is how long after a claim was sent its grant may be taken up,
// on the requester's clock.
const DefaultGrantLife = 500 * time.Millisecond

// Config describes an Authority.
type Config struct {
	Self ccnode.Ref
	// MaxClaims bounds the table. At the bound the oldest claim is forgotten, or
	// the new one refused when the oldest may still be worked on.
	MaxClaims int
	// ClockMargin is how far a client's clock may be ahead of an entry's, and any
	// two clocks of the fleet apart.
	ClockMargin time.Duration
	// GrantLife is DefaultGrantLife in production.
	GrantLife time.Duration
	// DriveLife is the longest time that a driver works on one claim.
	DriveLife time.Duration
	// Retention is how long claims are remembered.
	Retention time.Duration
	Guards    Guards
}

// Guards are the checks that keep a job from being driven twice. Tests switch
// them off one by one to show what each is for.
type Guards struct {
	// Claims refuses a job that another entry drives.
	Claims bool
	// Vouching treats a job as new only where the slot's memory proves it.
	Vouching bool
	// Leases grants only inside the authority's lease.
	Leases bool
	// GrantLife takes up no grant that comes too late, be it by its age or since
	// the slot was handed on.
	GrantLife bool
	// Promises grants nothing in a slot that was handed on.
	Promises bool
}

// AllGuards returns the guards that production runs with.
func AllGuards() Guards {
	return Guards{Claims: true, Vouching: true, Leases: true, GrantLife: true, Promises: true}
}
