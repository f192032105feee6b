package ccentry

import (
	"context"
	"time"

	"camphorcroft/core/ccdispatch"
)

// control is the goroutine that owns the entry's state.
func (e *Entry) control(ctx context.Context) {
	defer close(e.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.closeLinks()
			e.presence.closePeers()
			return
		case <-ticker.C:
			e.tick(time.Now())
		case run := <-e.commands:
			e.batch(run)
		}
		e.carryOut(time.Now())
	}
}

// batch handles a command and those that wait behind it, so that their effects
// share messages.
func (e *Entry) batch(run command) {
	now := time.Now()
	e.claims.check(now)
	run(now)
	for range batchCommands {
		select {
		case run = <-e.commands:
			run(now)
		default:
			return
		}
	}
}

func (e *Entry) tick(now time.Time) {
	e.claims.check(now)
	e.dispatcher.Tick(now)
	e.claims.tick(now)
	e.expirePending(now)
	e.answers.Evict(now)
	e.dropGuests(now)
}

// do hands a command to the control goroutine. It is dropped when the entry has
// ended.
func (e *Entry) do(run command) {
	select {
	case e.commands <- run:
	case <-e.stopped:
	}
}

// ask runs a command and waits until it has run, or until the entry has ended.
func (e *Entry) ask(run command) {
	done := make(chan struct{})
	e.do(func(now time.Time) {
		run(now)
		close(done)
	})
	select {
	case <-done:
	case <-e.stopped:
	}
}

func (e *Entry) carryOut(now time.Time) {
	e.claims.check(now)
	e.claims.carryOut(now)
	for _, action := range e.dispatcher.Actions(now) {
		switch action := action.(type) {
		case *ccdispatch.SendDispatch:
			e.sendDispatch(action)
		case *ccdispatch.SendRevoke:
			e.sendRevoke(action)
		case *ccdispatch.SendProbe:
			e.sendProbe(action)
		case *ccdispatch.EndJob:
			e.endJob(now, action)
		}
	}
}
