// Package ccanswer caches the outcomes of jobs that have ended, for clients that
// submit them again.
//
// # Usage
//
//	cache := ccanswer.NewCache(ccanswer.CacheConfig{Retention: 10 * time.Minute, MaxBytes: 64 << 20})
//	cache.Put(now, digest, outcome)
//	cached, ok := cache.Get(now, id)
package ccanswer

import (
	"time"

	"camphorcroft/core/ccjob"
)

// outcomeOverhead estimates the memory of an outcome without its reason and answers,
// in bytes.
const outcomeOverhead = 256

// CacheConfig limits the age and the size of cached outcomes.
type CacheConfig struct {
	Retention time.Duration
	MaxBytes  int // Above it the oldest outcomes are evicted first.
}

// CachedOutcome is an outcome with the digest of its job.
type CachedOutcome struct {
	Outcome ccjob.Outcome
	Digest  uint64
	addedAt time.Time
	size    int
}

// Cache holds outcomes for a limited time. It is not safe for concurrent use.
type Cache struct {
	cfg        CacheConfig
	outcomes   map[ccjob.ID]CachedOutcome
	order      []ccjob.ID // Oldest first.
	totalBytes int
}

// NewCache returns an empty cache.
func NewCache(cfg CacheConfig) *Cache {
	return &Cache{cfg: cfg, outcomes: make(map[ccjob.ID]CachedOutcome)}
}

// Put adds an outcome. A job ends only once, so a second outcome of the same job is
// ignored.
func (c *Cache) Put(now time.Time, digest uint64, outcome ccjob.Outcome) {
	if _, exists := c.outcomes[outcome.JobID]; exists {
		return
	}
	cached := CachedOutcome{Outcome: outcome, Digest: digest, addedAt: now, size: outcomeSize(&outcome)}
	c.outcomes[outcome.JobID] = cached
	c.order = append(c.order, outcome.JobID)
	c.totalBytes += cached.size
	c.Evict(now)
}

// Get returns the outcome of a job, if it is cached.
func (c *Cache) Get(now time.Time, id ccjob.ID) (CachedOutcome, bool) {
	c.Evict(now)
	cached, ok := c.outcomes[id]
	return cached, ok
}

// Evict removes outcomes that have reached the retention time, and the oldest ones
// while the cache exceeds MaxBytes.
func (c *Cache) Evict(now time.Time) {
	for len(c.order) > 0 {
		oldest := c.outcomes[c.order[0]]
		if c.totalBytes <= c.cfg.MaxBytes && now.Sub(oldest.addedAt) < c.cfg.Retention {
			return
		}
		c.totalBytes -= oldest.size
		delete(c.outcomes, c.order[0])
		c.order = c.order[1:]
	}
}

// Len returns the number of cached outcomes.
func (c *Cache) Len() int { return len(c.order) }

// Bytes returns an estimate of the memory that the cached outcomes use.
func (c *Cache) Bytes() int { return c.totalBytes }

func outcomeSize(outcome *ccjob.Outcome) int {
	total := outcomeOverhead + len(outcome.Reason)
	for i := range outcome.Answers {
		total += len(outcome.Answers[i].Payload) + 32
	}
	return total
}
