// Package cccell groups agents into cells, elects a leader for each cell, and
// maintains the cell's record of its members.
//
// Each agent runs one Machine for its cell. A Machine does no I/O: its inputs are
// ticks, results of store calls, replies of the leader and messages of members,
// and its outputs are Actions, which are store calls and messages to other agents.
// At most one store call and one request to the leader are in flight at a time.
//
// # Election
//
// A member that no longer hears from its leader reads the store, and campaigns
// when the leader's key is gone. Members delay their campaigns by a rank that
// differs by term, and read the store again before they campaign, so that a cell
// that loses its leader costs the store only a few writes. The compare-and-swap of
// the leader's key decides the election.
//
// Two concurrent leaders do no harm: the record is swapped by its revision, its
// term only increases, and a settings version is only ever replaced by a greater
// one. A leader acts on the record only while its lease is valid, measured on its
// own clock from when it sent the renewal.
//
// # Store outage
//
// While the store is unavailable, a leader keeps serving its members without
// writing, and a member without a leader keeps working with what it has.
//
// # Bounds
//
// A cell accepts a limited number of members and rejects further joins. It lists a
// limited number of departures; when that list is full, a silent member stays in
// the record until an older departure expires.
//
// # Usage
//
//	machine := cccell.New(cccell.Config{Cell: cccell.ForNode(id, cells), Self: member, Rand: rng}, now)
//	for _, action := range machine.Next(now) {
//		// Execute it elsewhere, then pass its result to the Handle method that its Op names.
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

// LeaseTTL is the time to live of a leader's lease.
const LeaseTTL = 3 * time.Second

// maxViewAge is how long a leader reports the view that it relays as current, after
// it last knew that the store held no newer one. It is longer than two watches of
// the settings.
const maxViewAge = 1300 * time.Millisecond

const (
	leaseMargin               = 200 * time.Millisecond // Between the last write and the end of the lease.
	renewInterval             = 1250 * time.Millisecond
	renewRetry                = 300 * time.Millisecond
	heartbeatInterval         = time.Second
	minEarlyHeartbeatInterval = 100 * time.Millisecond // Between heartbeats sent early to get a newer version.
	leaderTimeout             = 2500 * time.Millisecond
	// memberTimeout covers a lease and a heartbeat together, so that a leader that
	// didn't receive its members' heartbeats because it was paused itself has lost
	// its lease before it would expire them.
	memberTimeout          = 4 * time.Second
	batchDelay             = 50 * time.Millisecond
	minWriteInterval       = 300 * time.Millisecond
	readRetry              = time.Second
	maxReadRetry           = 5 * time.Second
	leaderRetry            = 300 * time.Millisecond
	electionSlot           = 50 * time.Millisecond
	maxElectionDelay       = 2 * time.Second
	maxFrequentReads       = 3 // Reads that find the same silent leader before they get less frequent.
	unlistedElectionSpread = 500 * time.Millisecond
	readSpreadPerMember    = 100 * time.Millisecond // Per member: the interval over which members spread their reads when the leader is silent.
	minReadSpread          = 300 * time.Millisecond
	maxReadSpread          = 6 * time.Second
	maxMembers             = 2048
	maxDeparted            = 8192
)

// Config identifies the cell of a machine and the agent that runs it.
type Config struct {
	Cell      int
	Self      ccwire.Member
	Rand      *rand.Rand
	Retention time.Duration // How long departures stay in the record.
}

// LeaderRecord is the value of a leader's key in the store.
type LeaderRecord struct {
	Node ccnode.Ref     `json:"node"`
	Addr netip.AddrPort `json:"addr"`
}

// ForNode returns the cell that a node belongs to.
func ForNode(id ccnode.ID, cells int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(cells, 1)))
}

// RecordKey returns the store key of a cell's record.
func RecordKey(cell int) string { return fmt.Sprintf("cells/%d", cell) }

// LeaderKey returns the store key that names the leader of a cell.
func LeaderKey(cell int) string { return fmt.Sprintf("leads/%d", cell) }
