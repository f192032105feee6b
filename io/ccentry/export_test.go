package ccentry

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccstore"
)

// The ways to claim that the cost of safety is measured against.
const (
	LocalClaims   = "local"
	FleetClaims   = "claims"
	LoopbackOnly  = "claimsOverLoopback" // As FleetClaims, without distance.
	WrittenClaims = "write"
	BatchedClaims = "batch"
)

const (
	batchEvery   = 5 * time.Millisecond
	writeTimeout = 2 * time.Second
)

// UseClaims makes an entry that has not started claim in one of the ways above.
// To claims at another entry it adds the distance, a round trip.
func (e *Entry) UseClaims(way string, distance time.Duration) {
	plain := &localClaims{}
	switch way {
	case LocalClaims:
		e.claims = plain
	case WrittenClaims:
		e.claims = &writtenClaims{localClaims: plain}
	case BatchedClaims:
		e.claims = &batchedClaims{localClaims: plain}
	case LoopbackOnly:
		e.claims = e.presence
	default:
		e.claims = &distantClaims{presence: e.presence, distance: distance}
	}
}

// Submit hands a job to the entry as its HTTP handler does.
func (e *Entry) Submit(spec *ccjob.Spec) <-chan ccjob.Outcome {
	outcome := make(chan ccjob.Outcome, 1)
	e.do(func(now time.Time) { e.submit(now, spec, outcome) })
	return outcome
}

// Ready reports what /readyz would.
func (e *Entry) Ready() bool {
	ready := false
	e.ask(func(time.Time) { ready = e.ready() })
	return ready
}

// Claimable returns in how many slots the entry may grant.
func (e *Entry) Claimable() int {
	slots := 0
	e.ask(func(time.Time) { slots = e.presence.authority.ReadySlots() })
	return slots
}

// KnownAgents returns how many agents the cells' records name.
func (e *Entry) KnownAgents() int {
	agents := 0
	e.ask(func(time.Time) {
		for _, record := range e.presence.cells {
			agents += len(record.Members)
		}
	})
	return agents
}

// localClaims asks nobody. It is right for a fleet with one entry that never
// fails, and shows what safety costs.
type localClaims struct{ next uint64 }

func (c *localClaims) claim(e *Entry, now time.Time, p *pendingJob) {
	c.next++
	e.drive(now, p, c.next, nil)
}

func (*localClaims) release(*Entry, *pendingJob)     {}
func (*localClaims) ready() bool                     { return true }
func (*localClaims) check(time.Time)                 {}
func (*localClaims) tick(time.Time)                  {}
func (*localClaims) carryOut(time.Time)              {}
func (*localClaims) configure(*ccsettings.Effective) {}

// writtenClaims writes one key a job.
type writtenClaims struct{ *localClaims }

func (c *writtenClaims) claim(e *Entry, _ time.Time, p *pendingJob) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		_, err := e.cfg.Store.Swap(ctx, "claims/"+string(p.spec.ID), 0, []byte(e.self.String()), ccstore.NoLease)
		e.do(func(now time.Time) { c.claimed(e, now, p, err) })
	}()
}

func (c *writtenClaims) claimed(e *Entry, now time.Time, p *pendingJob, err error) {
	if err != nil {
		e.finish(p, ccjob.Fail(p.spec.ID, ccjob.KindLost, false, err.Error()))
		return
	}
	c.localClaims.claim(e, now, p)
}

// batchedClaims writes the jobs of some milliseconds under one key of the entry.
type batchedClaims struct {
	*localClaims
	waiting []*pendingJob
	writing bool
}

func (c *batchedClaims) claim(e *Entry, _ time.Time, p *pendingJob) {
	c.waiting = append(c.waiting, p)
	if !c.writing {
		c.writing = true
		time.AfterFunc(batchEvery, func() { e.do(func(time.Time) { c.write(e) }) })
	}
}

func (c *batchedClaims) write(e *Entry) {
	batch := c.waiting
	c.waiting, c.writing = nil, false
	ids := make([]ccjob.ID, len(batch))
	for i, p := range batch {
		ids[i] = p.spec.ID
	}
	value, _ := json.Marshal(ids) // Strings always marshal.
	key := "claims/" + string(batch[0].spec.ID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		_, err := e.cfg.Store.Swap(ctx, key, 0, value, ccstore.NoLease)
		e.do(func(now time.Time) {
			for _, p := range batch {
				if err != nil {
					e.finish(p, ccjob.Fail(p.spec.ID, ccjob.KindLost, false, err.Error()))
					continue
				}
				c.localClaims.claim(e, now, p)
			}
		})
	}()
}

// distantClaims puts the entry at a distance from the others.
type distantClaims struct {
	*presence
	distance time.Duration
}

func (c *distantClaims) claim(e *Entry, now time.Time, p *pendingJob) {
	if to, _, ok := c.authority.AuthorityOf(p.spec.ID); !ok || to.Ref == e.self {
		c.presence.claim(e, now, p)
		return
	}
	time.AfterFunc(c.distance, func() { e.do(func(now time.Time) { c.presence.claim(e, now, p) }) })
}

// PeerRequests returns how many requests the entry has sent to others.
func (e *Entry) PeerRequests() int {
	total := 0
	e.metrics.Map("peerRequests").Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok {
			total += int(count.Value())
		}
	})
	return total
}
