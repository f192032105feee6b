package ccanswer_test

import (
	"testing"
	"time"

	"camphorcroft/core/ccanswer"
	"camphorcroft/core/ccjob"
)

func TestCache(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	put := func(c *ccanswer.Cache, now time.Time, id ccjob.ID) {
		c.Put(now, 1, ccjob.Complete(id, []ccjob.Answer{{Payload: "0123456789"}}))
	}
	assertCached := func(t *testing.T, c *ccanswer.Cache, now time.Time, id ccjob.ID, want bool) {
		t.Helper()
		if _, ok := c.Get(now, id); ok != want {
			t.Fatalf("job %s cached: %t, want %t", id, ok, want)
		}
	}
	t.Run("evictsAfterRetention", func(t *testing.T) {
		c := ccanswer.NewCache(ccanswer.CacheConfig{Retention: time.Minute, MaxBytes: 1 << 20})
		put(c, start, "a")
		put(c, start.Add(30*time.Second), "b")
		assertCached(t, c, start.Add(59*time.Second), "a", true)
		assertCached(t, c, start.Add(60*time.Second), "a", false)
		assertCached(t, c, start.Add(60*time.Second), "b", true)
	})
	t.Run("evictsOldestAboveMaxBytes", func(t *testing.T) {
		c := ccanswer.NewCache(ccanswer.CacheConfig{Retention: time.Minute, MaxBytes: 700})
		put(c, start, "a")
		put(c, start, "b")
		put(c, start, "c")
		assertCached(t, c, start, "a", false)
		assertCached(t, c, start, "c", true)
		if c.Bytes() > 700 {
			t.Fatalf("%d bytes cached, limit is 700", c.Bytes())
		}
	})
}
