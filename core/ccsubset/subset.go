// Package ccsubset chooses the entries with which an agent keeps a session.
//
// If each agent had a session with each entry, the heartbeats of an entry would grow with
// the fleet. An agent therefore uses a bounded number of entries of its own failure
// domain, and a bounded number of entries elsewhere, spread over the other domains, so
// that the entries of a domain whose workers are taken out still reach enough workers.
// An entry that can't be reached is replaced by the next one, until it is back.
//
// # Usage
//
//	subset := ccsubset.New(ccsubset.Config{Self: "agent-1", Domain: "north", Local: 12, Remote: 10})
//	subset.Add(entries...)
//	for _, addr := range subset.Wanted(now) { … }
//	subset.Unreachable(now, addr)
package ccsubset

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
)

// Config configures a Subset.
type Config struct {
	Self   ccnode.ID
	Domain string
	// Local and Remote are the numbers of entries to use in the agent's own failure
	// domain and in all others.
	Local  int
	Remote int
}

const (
	// replaceAfter is how long an entry may be unreachable before another one is used
	// beside it. An agent must not be without enough entries for longer than 1 s.
	replaceAfter = 700 * time.Millisecond
	// forgetUnlisted is how long an entry without a record in the store is kept after it
	// was last reached. While the store is away, records lapse though the entries live.
	forgetUnlisted = 10 * time.Second
)

// candidate is a known entry.
type candidate struct {
	entry  Entry
	score  uint64
	listed bool // The entry has a record in the store, or is a seed.
	// failingSince is the time of the first failed attempt since the entry was last
	// reached. Zero is none.
	failingSince time.Time
	unlistedAt   time.Time
}

func (c *candidate) unreachable(now time.Time) bool {
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) >= replaceAfter
}

// Subset is the set of entries that an agent knows and the choice among them. It is not
// safe for concurrent use.
type Subset struct {
	cfg        Config
	candidates []*candidate // In order of descending score.
	byAddr     map[netip.AddrPort]*candidate
	listed     uint64 // Digest of the entries of the last lists.
}

// New returns a subset that knows no entries.
func New(cfg Config) *Subset {
	return &Subset{cfg: cfg, byAddr: map[netip.AddrPort]*candidate{}}
}

// Digest returns the Digest of the listed entries whose domain is known.
func (s *Subset) Digest() uint64 { return s.listed }

// Add adds the valid entries, or updates those that are known already.
func (s *Subset) Add(entries ...Entry) {
	for _, e := range entries {
		if !e.Valid() {
			continue
		}
		c := s.byAddr[e.Addr]
		if c == nil {
			c = &candidate{entry: e, score: Score(s.cfg.Self, e.Addr.String())}
			s.byAddr[e.Addr] = c
			at, _ := slices.BinarySearchFunc(s.candidates, c, compareScores)
			s.candidates = slices.Insert(s.candidates, at, c)
		}
		s.setListed(c, false)
		if e.Domain != "" {
			c.entry = e
		}
		s.setListed(c, true)
	}
}

// compareScores puts higher scores first.
func compareScores(a, b *candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), a.entry.Addr.Compare(b.entry.Addr))
}

// Remove records that entries have no record in the store any more.
func (s *Subset) Remove(now time.Time, addrs ...netip.AddrPort) {
	for _, addr := range addrs {
		if c := s.byAddr[addr]; c != nil && c.listed {
			s.setListed(c, false)
			c.unlistedAt = now
		}
	}
}

// setListed sets whether an entry is listed and updates the digest.
func (s *Subset) setListed(c *candidate, listed bool) {
	if c.listed != listed && c.entry.Domain != "" {
		s.listed ^= c.entry.digest()
	}
	c.listed = listed
}

// Replace makes entries the list of all entries that have a record in the store.
func (s *Subset) Replace(now time.Time, entries []Entry) {
	current := map[netip.AddrPort]bool{}
	for _, e := range entries {
		current[e.Addr] = true
	}
	for _, c := range s.candidates {
		if c.entry.Domain != "" && !current[c.entry.Addr] {
			s.Remove(now, c.entry.Addr)
		}
	}
	s.Add(entries...)
}

// Reached records that a session with an entry is open.
func (s *Subset) Reached(addr netip.AddrPort) {
	if c := s.byAddr[addr]; c != nil {
		c.failingSince = time.Time{}
	}
}

// Unreachable records that an attempt to open a session with an entry has failed.
func (s *Subset) Unreachable(now time.Time, addr netip.AddrPort) {
	if c := s.byAddr[addr]; c != nil && c.failingSince.IsZero() {
		c.failingSince = now
	}
}

// Wanted returns the entries to have a session with, including those that can't be
// reached at present but should be tried.
func (s *Subset) Wanted(now time.Time) []netip.AddrPort {
	s.forget(now)
	var unknown, local, remote []*candidate
	for _, c := range s.candidates {
		switch c.entry.Domain {
		case "":
			unknown = append(unknown, c)
		case s.cfg.Domain:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	wanted := take(now, local, s.cfg.Local)
	wanted = append(wanted, take(now, spreadDomains(remote), s.cfg.Remote)...)
	if len(wanted) == 0 {
		// Only the addresses of seeds are known yet.
		wanted = take(now, unknown, s.cfg.Remote)
	}
	addrs := make([]netip.AddrPort, 0, len(wanted))
	for _, c := range wanted {
		addrs = append(addrs, c.entry.Addr)
	}
	return addrs
}

// take returns the first candidates up to and including the nth reachable one.
func take(now time.Time, candidates []*candidate, n int) []*candidate {
	reachable := 0
	for i, c := range candidates {
		if reachable == n {
			return candidates[:i]
		}
		if !c.unreachable(now) {
			reachable++
		}
	}
	return candidates
}

// spreadDomains reorders candidates so that each domain's best one comes first, then each
// domain's second, and so on.
func spreadDomains(candidates []*candidate) []*candidate {
	rank := make(map[string]int)
	ranks := make(map[*candidate]int, len(candidates))
	for _, c := range candidates {
		ranks[c] = rank[c.entry.Domain]
		rank[c.entry.Domain]++
	}
	spread := slices.Clone(candidates)
	slices.SortStableFunc(spread, func(a, b *candidate) int { return ranks[a] - ranks[b] })
	return spread
}

// forget drops the entries that are neither listed nor reached.
func (s *Subset) forget(now time.Time) {
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool {
		if c.listed || c.failingSince.IsZero() || now.Sub(c.unlistedAt) < forgetUnlisted {
			return false
		}
		delete(s.byAddr, c.entry.Addr)
		return true
	})
}
