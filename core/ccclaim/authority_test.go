package ccclaim_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

const (
	clockMargin  = 2 * time.Second
	maxDriveTime = 20 * time.Second
	retention    = time.Minute
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func ref(id string) ccnode.Ref { return ccnode.Ref{ID: ccnode.ID(id), Incarnation: 1} }

func entry(id string) ccroster.Member { return ccroster.Member{Ref: ref(id)} }

// jobAt returns a job ID, a UUID version 7, that carries the given time.
func jobAt(at time.Time, n int) ccjob.ID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(n)&0xfff)
	id[8] = 0x80
	return ccjob.ID(id.String())
}

// jobOf returns such an ID in a slot whose authority is the given entry.
func jobOf(roster *ccroster.Roster, id string, at time.Time) ccjob.ID {
	for n := range 0x1000 {
		job := jobAt(at, n)
		if owner, _ := roster.Authority(ccroster.SlotOf(job)); owner.Ref == ref(id) {
			return job
		}
	}
	panic("no job ID found in a slot of the entry")
}

func newAuthority(id string, maxClaims int) *ccclaim.Authority {
	return ccclaim.NewAuthority(ccclaim.Config{
		Self: ref(id), MaxClaims: maxClaims, ClockMargin: clockMargin, MaxDriveTime: maxDriveTime,
		GrantTTL: ccclaim.DefaultGrantTTL, Retention: retention, Guards: ccclaim.AllGuards(),
	})
}

func claimOf(a *ccclaim.Authority, driver string, job ccjob.ID) ccwire.Claim {
	return ccwire.Claim{Epoch: a.Epoch(), JobID: job, Digest: 1, Driver: ref(driver)}
}

func assertResult(t *testing.T, a *ccclaim.Authority, now time.Time, message ccwire.Claim, want ccwire.ClaimResult) ccwire.ClaimReply {
	t.Helper()
	reply := a.Claim(now, message, now.Add(time.Second))
	if reply.Result != want {
		t.Errorf("result %s, want %s", reply.Result, want)
	}
	return reply
}

// newPair returns a new fleet of the entries a and b, in which both know all
// claims.
func newPair(t *testing.T) (*ccroster.Roster, *ccclaim.Authority, *ccclaim.Authority) {
	t.Helper()
	roster := ccroster.Bootstrap(entry("a"))
	a, b := newAuthority("a", 100), newAuthority("b", 100)
	a.RosterChanged(start, roster, nil)
	roster = roster.With(entry("b"))
	a.RosterChanged(start, roster, nil)
	exchangeGathers(start, b, b.RosterChanged(start, roster, nil), a)
	if a.ReadySlots()+b.ReadySlots() != ccroster.SlotCount {
		t.Fatalf("ready in %d and %d slots", a.ReadySlots(), b.ReadySlots())
	}
	return roster, a, b
}

func exchangeGathers(now time.Time, asker *ccclaim.Authority, requests []ccclaim.GatherRequest, asked *ccclaim.Authority, held ...ccwire.GatherClaim) {
	for _, request := range requests {
		asker.HandleGatherReply(now, request.Message.Epoch, asked.Gather(request.Message, held))
	}
}

func TestClaim(t *testing.T) {
	t.Run("the first claim is granted, the second attaches", func(t *testing.T) {
		roster, a, _ := newPair(t)
		job := jobOf(roster, "a", start)
		first := assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimGranted)
		second := assertResult(t, a, start, claimOf(a, "b", job), ccwire.ClaimAttach)
		if second.Driver != ref("a") || second.Claim != first.Claim {
			t.Errorf("attached to %+v", second)
		}
	})
	t.Run("different content is a conflict", func(t *testing.T) {
		roster, a, _ := newPair(t)
		message := claimOf(a, "a", jobOf(roster, "a", start))
		assertResult(t, a, start, message, ccwire.ClaimGranted)
		message.Digest++
		assertResult(t, a, start, message, ccwire.ClaimConflict)
	})
	t.Run("a released claim is granted again with a greater number", func(t *testing.T) {
		roster, a, _ := newPair(t)
		job := jobOf(roster, "a", start)
		first := assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimGranted)
		a.Release(ccwire.Release{JobID: job, Claim: first.Claim, From: ref("a")})
		second := assertResult(t, a, start, claimOf(a, "b", job), ccwire.ClaimGranted)
		if second.Claim <= first.Claim {
			t.Errorf("claim number %d after %d", second.Claim, first.Claim)
		}
		a.Release(ccwire.Release{JobID: job, Claim: first.Claim, From: ref("a")})
		assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimAttach)
	})
	t.Run("a claim unknown to its driver is recovered", func(t *testing.T) {
		roster, a, _ := newPair(t)
		message := claimOf(a, "a", jobOf(roster, "a", start))
		first := assertResult(t, a, start, message, ccwire.ClaimGranted)
		assertResult(t, a, start, message, ccwire.ClaimRecover)
		message.Driver, message.UnknownClaim = ref("b"), first.Claim+1
		assertResult(t, a, start, message, ccwire.ClaimRecover)
	})
	t.Run("refusals", func(t *testing.T) {
		roster, a, b := newPair(t)
		job := jobOf(roster, "a", start)
		stale := claimOf(a, "b", job)
		stale.Epoch--
		assertResult(t, a, start, stale, ccwire.ClaimWrongEpoch)
		assertResult(t, b, start, claimOf(b, "b", job), ccwire.ClaimWrongEpoch)
		assertResult(t, a, start, claimOf(a, "stranger", job), ccwire.ClaimWrongEpoch)
		assertResult(t, a, start, claimOf(a, "b", jobOf(roster, "a", start.Add(clockMargin+time.Second))), ccwire.ClaimInvalid)
		if reply := a.Claim(start, claimOf(a, "b", job), start); reply.Result != ccwire.ClaimNotReady {
			t.Errorf("result %s at the end of the lease", reply.Result)
		}
	})
}

func TestGrantUsable(t *testing.T) {
	roster, a, b := newPair(t)
	job := jobOf(roster, "a", start)
	reply := assertResult(t, a, start, claimOf(a, "b", job), ccwire.ClaimGranted)
	assertUsable := func(after time.Duration, want bool) {
		t.Helper()
		if got := b.GrantUsable(start.Add(after), start, job, reply); got != want {
			t.Errorf("usable after %s: %t", after, got)
		}
	}
	assertUsable(499*time.Millisecond, true)
	assertUsable(500*time.Millisecond, false)
	b.Gather(ccwire.Gather{Epoch: roster.Epoch + 1, From: ref("c"), Slots: []int{ccroster.SlotOf(job)}}, nil)
	assertUsable(time.Millisecond, false)
}

func TestTakeover(t *testing.T) {
	t.Run("a leaving member hands over all claims", func(t *testing.T) {
		roster, a, b := newPair(t)
		known := jobOf(roster, "a", start)
		untimed := jobWithoutTime(roster, "a")
		assertResult(t, a, start, claimOf(a, "b", known), ccwire.ClaimGranted)
		roster = roster.WithLeaving(ref("a"))
		a.RosterChanged(start, roster, nil)
		requests := b.RosterChanged(start, roster, nil)
		assertResult(t, b, start, claimOf(b, "b", known), ccwire.ClaimNotReady)
		assertHandedOver(t, a, b, false)
		exchangeGathers(start, b, requests, a)
		assertHandedOver(t, a, b, true)
		assertResult(t, b, start, claimOf(b, "a", known), ccwire.ClaimAttach)
		assertResult(t, b, start, claimOf(b, "a", untimed), ccwire.ClaimGranted)
	})
	t.Run("after the loss of an authority only later jobs are new", func(t *testing.T) {
		roster, a, b := newPair(t)
		job := jobOf(roster, "a", start)
		untimed, old := jobWithoutTime(roster, "a"), jobOf(roster, "a", start.Add(-retention))
		assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimGranted)
		roster = roster.Without(ref("a"))
		b.RosterChanged(start, roster, nil)
		assertResult(t, b, start, claimOf(b, "b", job), ccwire.ClaimNotReady)
		taken := start.Add(ccclaim.DefaultGrantTTL)
		b.Tick(taken)
		assertResult(t, b, taken, claimOf(b, "b", job), ccwire.ClaimRecover)
		assertResult(t, b, taken, claimOf(b, "b", untimed), ccwire.ClaimUnprovable)
		after := start.Add(2*clockMargin + time.Millisecond)
		assertResult(t, b, after, claimOf(b, "b", jobAt(after, 1)), ccwire.ClaimGranted)
		assertResult(t, b, after, claimOf(b, "b", old), ccwire.ClaimUnprovable)
	})
	t.Run("a driver reports its claims after the loss of an authority", func(t *testing.T) {
		roster := ccroster.Bootstrap(entry("a")).With(entry("b")).With(entry("c"))
		job := jobOf(roster.Without(ref("a")), "b", start)
		b, c := newAuthority("b", 100), newAuthority("c", 100)
		b.RosterChanged(start, roster, nil)
		c.RosterChanged(start, roster, nil)
		roster = roster.Without(ref("a"))
		c.RosterChanged(start, roster, nil)
		driven := ccwire.GatherClaim{JobID: job, Digest: 1, Claim: 7, Driver: ref("c"), Granted: start.UnixMilli()}
		exchangeGathers(start, b, b.RosterChanged(start, roster, nil), c, driven)
		later := start.Add(time.Second)
		b.Tick(later)
		assertResult(t, b, later, claimOf(b, "b", job), ccwire.ClaimAttach)
	})
	t.Run("a claim returned before the loss of an authority is recovered", func(t *testing.T) {
		roster, a, b := newPair(t)
		job := jobOf(roster, "a", start)
		first := assertResult(t, a, start, claimOf(a, "b", job), ccwire.ClaimGranted)
		roster = roster.With(entry("c")).Without(ref("a"))
		c := newAuthority("c", 100)
		authority, other := b, c
		if owner, _ := roster.Authority(ccroster.SlotOf(job)); owner.Ref == ref("c") {
			authority, other = c, b
		}
		released := ccwire.GatherClaim{JobID: job, Digest: 1, Claim: first.Claim, Driver: ref("b"), Granted: start.UnixMilli(), Released: true}
		other.RosterChanged(start, roster, nil)
		exchangeGathers(start, authority, authority.RosterChanged(start, roster, nil), other, released)
		later := start.Add(time.Second)
		authority.Tick(later)
		message := claimOf(authority, "b", job)
		message.ReleasedClaim = first.Claim
		assertResult(t, authority, later, message, ccwire.ClaimRecover)
	})
	t.Run("an authority knows the claims that it drives itself", func(t *testing.T) {
		roster, _, b := newPair(t)
		job := jobOf(roster, "a", start)
		driven := ccwire.GatherClaim{JobID: job, Digest: 1, Claim: 7, Driver: ref("b"), Granted: start.UnixMilli()}
		roster = roster.Without(ref("a")).With(entry("c"))
		b.RosterChanged(start, roster.Without(ref("c")), func([]int) []ccwire.GatherClaim { return []ccwire.GatherClaim{driven} })
		later := start.Add(time.Second)
		b.Tick(later)
		other := claimOf(b, "b", job)
		other.Digest++
		assertResult(t, b, later, other, ccwire.ClaimConflict)
	})
	t.Run("claims of a lost driver are recovered", func(t *testing.T) {
		roster, a, _ := newPair(t)
		job := jobOf(roster, "a", start)
		first := assertResult(t, a, start, claimOf(a, "b", job), ccwire.ClaimGranted)
		a.RosterChanged(start, roster.Without(ref("b")), nil)
		second := assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimRecover)
		if second.Claim <= first.Claim || second.EarliestStart > start.UnixMilli() {
			t.Errorf("recover %+v after %+v", second, first)
		}
	})
	t.Run("an entry that missed an epoch gathers again", func(t *testing.T) {
		roster, a, b := newPair(t)
		roster = roster.Renewed().Renewed()
		requests := a.RosterChanged(start, roster, nil)
		assertResult(t, a, start, claimOf(a, "a", jobOf(roster, "a", start)), ccwire.ClaimNotReady)
		exchangeGathers(start, a, requests, b)
		assertResult(t, a, start, claimOf(a, "a", jobOf(roster, "a", start)), ccwire.ClaimGranted)
	})
	t.Run("a promise stops grants under the older epoch", func(t *testing.T) {
		roster, a, _ := newPair(t)
		job := jobOf(roster, "a", start)
		a.Gather(ccwire.Gather{Epoch: roster.Epoch + 1, From: ref("c"), Slots: []int{ccroster.SlotOf(job)}}, nil)
		assertResult(t, a, start, claimOf(a, "a", job), ccwire.ClaimNotReady)
	})
}

func assertHandedOver(t *testing.T, from, to *ccclaim.Authority, want bool) {
	t.Helper()
	for _, request := range from.HandoverRequests() {
		if got := ccclaim.HandedOver(from.Epoch(), to.Gather(request.Message, nil)); got != want {
			t.Errorf("handed over: %t", got)
		}
	}
}

func jobWithoutTime(roster *ccroster.Roster, id string) ccjob.ID {
	for n := range 0x1000 {
		job := ccjob.ID(fmt.Sprintf("job-%d", n))
		if owner, _ := roster.Authority(ccroster.SlotOf(job)); owner.Ref == ref(id) {
			return job
		}
	}
	panic("no job ID found in a slot of the entry")
}

func TestTableCapacity(t *testing.T) {
	newSingle := func(maxClaims int) *ccclaim.Authority {
		a := newAuthority("a", maxClaims)
		a.RosterChanged(start, ccroster.Bootstrap(entry("a")), nil)
		return a
	}
	t.Run("a full table refuses claims while a driver may be working on the oldest", func(t *testing.T) {
		a := newSingle(2)
		for n := range 2 {
			assertResult(t, a, start, claimOf(a, "a", jobAt(start, n)), ccwire.ClaimGranted)
		}
		assertResult(t, a, start, claimOf(a, "a", jobAt(start, 2)), ccwire.ClaimFull)
	})
	t.Run("after the drive time the oldest claim is evicted and its job recovered", func(t *testing.T) {
		a := newSingle(2)
		for n := range 2 {
			assertResult(t, a, start, claimOf(a, "a", jobAt(start, n)), ccwire.ClaimGranted)
		}
		later := start.Add(maxDriveTime)
		for n := range 2 {
			assertResult(t, a, later, claimOf(a, "a", jobAt(later, n)), ccwire.ClaimGranted)
		}
		if a.Len() != 2 {
			t.Errorf("%d claims", a.Len())
		}
		again := later.Add(maxDriveTime)
		assertResult(t, a, again, claimOf(a, "a", jobAt(start, 0)), ccwire.ClaimRecover)
	})
	t.Run("past retention a job without a timestamp is unprovable, not new", func(t *testing.T) {
		a := newSingle(10)
		assertResult(t, a, start, claimOf(a, "a", "untimed"), ccwire.ClaimGranted)
		later := start.Add(retention + time.Second)
		a.Tick(later)
		if a.Len() != 0 {
			t.Errorf("%d claims", a.Len())
		}
		assertResult(t, a, later, claimOf(a, "a", "untimed"), ccwire.ClaimUnprovable)
	})
}
