// Package ccoutage decides whether an entry that can't reach the store may
// continue without it, and whether an entry may be removed from the roster.
//
// A single entry can't tell an outage of the store from its own isolation, so it
// asks the other entries. Each of them consents for one second at a time while
// it can't reach the store either. With the consent of a majority of the roster,
// itself included, the entry continues past the end of its lease. An entry that
// wants to remove another one tells all members, and waits until so many of them
// withhold their consent that the other one can't reach a majority any more. The
// proof is in docs/decisions/outage.md.
//
// # Usage
//
//	quorum.StoreSeen(sent)               // After each call that the store answered.
//	if quorum.NeedsConsent(now) { ... }  // Send quorum.NewRequest(now, nil) to all members.
//	quorum.ReplyReceived(sent, reply)
//	until := quorum.ValidUntil()         // Grant and start nothing after that.
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

// Config configures a Quorum.
type Config struct {
	Self ccnode.Ref
	// StoreSeenTTL is how long after a successful call to the store an entry counts
	// as seeing the store.
	StoreSeenTTL time.Duration
	// ConsentTTL is how long a consent is valid, counted from when it was requested.
	ConsentTTL time.Duration
}
