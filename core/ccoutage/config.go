// Package ccoutage decides whether an entry that doesn't see the store may go
// on without it, and whether an entry may be taken out of the roster.
//
// An entry alone can't tell an outage of the store from its own isolation. It
// asks the others. Each consents for one second at a time while it doesn't see
// the store either; with the consent of a majority of the roster, itself
// included, the entry goes on past its lease. An entry that wants to remove
// another tells all, and waits until so many withhold their consent that the
// other can't have a majority any more. docs/decisions/outage.md has the proof.
//
// # Usage
//
//	rule.StoreSeen(sent)                 // After each call that the store answered.
//	if rule.ShouldAsk(now) { ... }       // Send rule.Ask(now, nil) to all members.
//	rule.Answered(sent, reply)
//	until := rule.ValidUntil()           // Grant and start nothing after that.
package ccoutage

import (
	"time"

	"camphorcroft/core/ccnode"
)

// Defaults of Config.
const (
	DefaultStoreSeenTTL = time.Second
	DefaultConsentTTL   = time.Second
)

// Config describes a Rule.
type Config struct {
	Self ccnode.Ref
	// StoreSeenTTL is how long after a store call the entry counts as seeing the
	// store.
	StoreSeenTTL time.Duration
	// ConsentTTL is how long a consent holds, from when it was asked for.
	ConsentTTL time.Duration
}
