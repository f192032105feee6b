package ccstandin

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"camphorcroft/io/ccstore"
)

var (
	errOutage = errors.New("the store is out")
	errRate   = errors.New("the store's rate cap is reached")
	errDrawn  = errors.New("the call was chosen to fail")
	errLost   = errors.New("the answer was chosen to be lost")
)

// call counts one call, lets the switches act on it, and runs it under the lock.
func (s *Store) call(ctx context.Context, call ccstore.Call, run func(now time.Time) error) error {
	s.counters.Count(call)
	if err := s.admit(ctx, call); err != nil {
		return s.fail(err)
	}
	var err error
	lost := false
	s.locked(func(now time.Time) {
		err = run(now)
		lost = call.Writes() && s.draw(s.faults.LoseShare)
	})
	if lost {
		return s.fail(&ccstore.Error{Op: string(call), Kind: ccstore.KindUnknown, Err: errLost})
	}
	return err
}

// admit holds and refuses calls as the switches say.
func (s *Store) admit(ctx context.Context, call ccstore.Call) error {
	if err := sleep(ctx, s.Faults().Delay.Std()); err != nil {
		return unavailable(call, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if call.Writes() {
		limiter = s.writes
	}
	switch {
	case s.faults.Outage:
		return unavailable(call, errOutage)
	case !limiter.Allow():
		return unavailable(call, errRate)
	case s.draw(s.faults.FailShare):
		return unavailable(call, errDrawn)
	default:
		return nil
	}
}

// locked runs a function on the content as it is now, and wakes the watches if
// the content changed.
func (s *Store) locked(run func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	before := s.data.revision
	s.data.expire(now)
	run(now)
	if s.data.revision != before {
		s.wake()
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) draw(share float64) bool {
	return share > 0 && s.rng.Float64() < share
}

func (s *Store) fail(err error) error {
	s.counters.Fail()
	return err
}

func unavailable(call ccstore.Call, err error) error {
	return &ccstore.Error{Op: string(call), Kind: ccstore.KindUnavailable, Err: err}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
