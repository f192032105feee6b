// Package cccell groups agents into cells, elects a lead for each, and keeps the
// cell's record.
//
// Each agent has one Machine for its cell. Events go in: ticks, answers of the
// store, answers of the lead, messages of members. Actions come out: calls to
// the store and messages to the lead. At most one action towards the store and
// one towards the lead is under way at a time.
//
// # Election
//
// A member that hears nothing of its lead looks at the store, and stands for
// election when the lead's key is gone. Members wait their turn in an order that
// differs by term and look again before they stand, so that a cell that loses
// its lead costs the store a few writes. The swap of the lead's key decides.
//
// Two leads at once do no harm: a record is swapped by its revision, its term
// only grows, and a settings version is only ever replaced by a greater one. A
// lead acts on the record only inside its lease, counted on its own clock from
// when it sent the renewal.
//
// # Store outage
//
// While the store doesn't answer, a lead goes on serving its members without
// writing, and a member without a lead goes on with what it has.
//
// # Bounds
//
// A cell takes a limited number of members and refuses the joins beyond it. It
// lists a limited number of departures; at that bound a member that has gone
// silent stays in the record until an older departure is over.
//
// # Usage
//
//	machine := cccell.New(cccell.Config{Cell: cccell.Of(id, cells), Self: member, Rand: rng}, now)
//	for _, action := range machine.Next(now) {
//		// Do it elsewhere and call Looked, Stood, Renewed, Wrote or Answered.
//	}
package cccell

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// LeaseTTL is the time to live of a lead's lease.
const LeaseTTL = 3 * time.Second

// currentLimit is for how long a lead vouches for the view that it relays, after it
// last knew that the store held no newer one. It is longer than two watches of
// the settings.
const currentLimit = 1300 * time.Millisecond

const (
	leaseMargin   = 200 * time.Millisecond // Kept between the last write and the end of the lease.
	renewInterval = 1250 * time.Millisecond
	renewRetry    = 300 * time.Millisecond
	beatInterval  = time.Second
	askGap        = 100 * time.Millisecond // Between two heartbeats that ask for a newer version.
	leadSilence   = 2500 * time.Millisecond
	// memberSilence is longer than a lease and a heartbeat together, so that a lead
	// whose own pause kept it from hearing its members has lost its lease first.
	memberSilence    = 4 * time.Second
	batchDelay       = 50 * time.Millisecond
	writeGap         = 300 * time.Millisecond
	lookRetry        = time.Second
	maxLookRetry     = 5 * time.Second
	linkRetry        = 300 * time.Millisecond
	electionSlot     = 50 * time.Millisecond
	maxElectionDelay = 2 * time.Second
	patientLooks     = 3 // Looks that find the silent lead before they get rarer.
	startSpread      = 500 * time.Millisecond
	lookSpread       = 100 * time.Millisecond // Times the members: over how long they look when their lead falls silent.
	minLookSpread    = 300 * time.Millisecond
	maxLookSpread    = 6 * time.Second
	maxMembers       = 2048
	maxDeparted      = 8192
)

// Config says which cell a machine works for and who runs it.
type Config struct {
	Cell      int
	Self      ccwire.Member
	Rand      *rand.Rand
	Retention time.Duration // How long departures are listed.
}

// LeaderRecord is the value of a lead's key.
type LeaderRecord struct {
	Node ccnode.Ref     `json:"node"`
	Addr netip.AddrPort `json:"addr"`
}

// ForNode returns the cell of a node.
func ForNode(id ccnode.ID, cells int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(cells, 1)))
}

// RecordKey returns the store key of a cell's record.
func RecordKey(cell int) string { return fmt.Sprintf("cells/%d", cell) }

// LeaderKey returns the store key of a cell's lead.
func LeaderKey(cell int) string { return fmt.Sprintf("leads/%d", cell) }
