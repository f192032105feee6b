package ccproof

import (
	"slices"
	"time"
)

// process models the control loop of a process that gets too little of the processor: events
// and ticks wait in a queue, and each takes a while.
type process struct {
	w *replayWorld
	// slowUntil is until when each event takes from minCost to maxCost.
	slowUntil        time.Time
	minCost, maxCost time.Duration
	// noTicksUntil is until when the loop gets no ticks, while events go on.
	noTicksUntil time.Time
	frozenUntil  func() time.Time
	freeAt       time.Time // When the last event is done.
	queue        []func()
	pumping      bool
	ticking      bool // A tick is in the queue.
}

// slow has each event take up to maxCost for a while.
func (p *process) slow(span, minCost, maxCost time.Duration) {
	p.slowUntil, p.minCost, p.maxCost = p.w.now.Add(span), minCost, maxCost
}

// handle runs an event once those before it are done.
func (p *process) handle(event func()) {
	if p.idle() {
		event()
		return
	}
	p.queue = append(p.queue, event)
	p.pump()
}

// tick runs a tick. A ticker drops ticks while one waits, and a loop that has the choice between
// a tick and an event takes either.
func (p *process) tick(do func()) {
	switch {
	case p.ticking || p.w.now.Before(p.noTicksUntil):
		return
	case p.idle():
		do()
		return
	}
	at := 0
	for at < len(p.queue) && p.w.rng.IntN(2) == 0 {
		at++
	}
	p.ticking = true
	p.queue = slices.Insert(p.queue, at, func() {
		p.ticking = false
		do()
	})
	p.pump()
}

func (p *process) idle() bool {
	return len(p.queue) == 0 && !p.w.now.Before(p.slowUntil) && !p.w.now.Before(p.freeAt)
}

func (p *process) pump() {
	if p.pumping || len(p.queue) == 0 {
		return
	}
	at := p.w.now
	for _, other := range []time.Time{p.freeAt, p.frozenUntil()} {
		if other.After(at) {
			at = other
		}
	}
	p.pumping = true
	p.w.schedule(at.Sub(p.w.now), func() {
		p.pumping = false
		if len(p.queue) > 0 && !p.w.now.Before(p.frozenUntil()) {
			next := p.queue[0]
			p.queue = p.queue[1:]
			if p.w.now.Before(p.slowUntil) {
				p.freeAt = p.w.now.Add(p.minCost + time.Duration(p.w.rng.Int64N(int64(p.maxCost-p.minCost)+1)))
			}
			next()
		}
		p.pump()
	})
}

// kill drops what waits.
func (p *process) kill() { *p = process{w: p.w, frozenUntil: p.frozenUntil, pumping: p.pumping} }
