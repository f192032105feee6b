// Package ccanswer keeps the outcomes of jobs that have ended, for clients that
// submit them again.
//
// # Usage
//
//	cache := ccanswer.NewCache(ccanswer.CacheConfig{Retention: 10 * time.Minute, MaxBytes: 64 << 20})
//	cache.Put(now, digest, outcome)
//	kept, ok := cache.Get(now, id)
package ccanswer

import (
	"time"

	"camphorcroft/core/ccjob"
)

// perOutcome is about what an outcome takes beside its payloads, in bytes.
const perOutcome = 256

// CacheConfig bounds a cache.
type CacheConfig struct {
	Retention time.Duration
	MaxBytes  int // At the bound the oldest outcomes go first.
}

// CachedOutcome is an outcome and the digest of the job that it belongs to.
type CachedOutcome struct {
	Outcome ccjob.Outcome
	Digest  uint64
	at      time.Time
	bytes   int
}

// Cache keeps outcomes for a time. It is used from one goroutine.
type Cache struct {
	cfg   CacheConfig
	kept  map[ccjob.ID]CachedOutcome
	order []ccjob.ID // Oldest first.
	bytes int
}

// NewCache returns an empty cache.
func NewCache(cfg CacheConfig) *Cache {
	return &Cache{cfg: cfg, kept: make(map[ccjob.ID]CachedOutcome)}
}

// Put keeps an outcome. A job ends once, so a second outcome of the same job is
// ignored.
func (c *Cache) Put(now time.Time, digest uint64, outcome ccjob.Outcome) {
	if _, known := c.kept[outcome.JobID]; known {
		return
	}
	kept := CachedOutcome{Outcome: outcome, Digest: digest, at: now, bytes: size(&outcome)}
	c.kept[outcome.JobID] = kept
	c.order = append(c.order, outcome.JobID)
	c.bytes += kept.bytes
	c.Evict(now)
}

// Get returns the outcome of a job, if it is kept.
func (c *Cache) Get(now time.Time, id ccjob.ID) (CachedOutcome, bool) {
	c.Evict(now)
	kept, ok := c.kept[id]
	return kept, ok
}

// Evict forgets what is too old, and what is over the bound.
func (c *Cache) Evict(now time.Time) {
	for len(c.order) > 0 {
		oldest := c.kept[c.order[0]]
		if c.bytes <= c.cfg.MaxBytes && now.Sub(oldest.at) < c.cfg.Retention {
			return
		}
		c.bytes -= oldest.bytes
		delete(c.kept, c.order[0])
		c.order = c.order[1:]
	}
}

// Len and Bytes say how full the cache is.
func (c *Cache) Len() int { return len(c.order) }

// Bytes returns about how much memory the outcomes take.
func (c *Cache) Bytes() int { return c.bytes }

func size(outcome *ccjob.Outcome) int {
	total := perOutcome + len(outcome.Reason)
	for i := range outcome.Answers {
		total += len(outcome.Answers[i].Payload) + 32
	}
	return total
}
