package ccload

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Order is the scheduling order of pending jobs in the ideal replay.
type Order string

const (
	// OrderFirstCome assigns all tasks of the oldest job before those of the next.
	OrderFirstCome Order = "firstCome"
	// OrderFair assigns one task of each pending job in turn (round-robin).
	OrderFair Order = "fair"
)

// Replay is the result of an ideal replay.
type Replay struct {
	// Responses holds the response time of each arrival, without the client's round
	// trip.
	Responses []time.Duration
	// Spans holds the interval in which each task ran, in order of assignment.
	Spans []Span
}

// Span is the interval in which one task runs at a target of the given speed.
type Span struct {
	From, To time.Duration
	Speed    float64
}

// workWithin returns the nominal work that the span does between two times.
func (s Span) workWithin(from, to time.Duration) time.Duration {
	overlap := max(min(s.To, to)-max(s.From, from), 0)
	return time.Duration(float64(overlap) * s.Speed)
}

// Ideal simulates the arrivals on the targets with no latency and exact knowledge:
// each task is assigned to the fastest free slot, or waits until one is free.
func Ideal(arrivals []Arrival, targets []Target, order Order) *Replay {
	r := newReplay(arrivals, targets, order)
	for i := range arrivals {
		r.runUntil(arrivals[i].At)
		r.pending = append(r.pending, pendingJob{number: i})
		r.assign()
	}
	for r.busy.Len() > 0 {
		r.runUntil(r.busy.slots[0].until)
	}
	return &r.result
}

// IdealAlone returns the ideal response time of a job that has the fleet to
// itself, without the client's round trip.
func IdealAlone(arrival Arrival, targets []Target) time.Duration {
	arrival.At = 0
	return Ideal([]Arrival{arrival}, targets, OrderFirstCome).Responses[0]
}

// IdealWithJitter simulates the arrivals like Ideal, each delayed by a random time
// of up to maxJitter. It shows how much the response times of single jobs differ
// between two ideal runs, a difference that no policy can go below.
func IdealWithJitter(arrivals []Arrival, targets []Target, order Order, maxJitter time.Duration, random *rand.Rand) []time.Duration {
	jittered := slices.Clone(arrivals)
	for i := range jittered {
		jittered[i].At += time.Duration(random.Float64() * float64(maxJitter))
	}
	slices.SortStableFunc(jittered, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	responses := make([]time.Duration, len(arrivals))
	for i, response := range Ideal(jittered, targets, order).Responses {
		responses[jittered[i].Number] = response
	}
	return responses
}

// pendingJob is a job with tasks that are not assigned yet.
type pendingJob struct {
	number int
	next   int // Index of the next task to assign.
}

// replay is the state of an ideal replay.
type replay struct {
	arrivals []Arrival
	order    Order
	now      time.Duration
	pending  []pendingJob
	free     slotHeap // The fastest slot first.
	busy     slotHeap // The slot that becomes free first is first.
	result   Replay
}

func newReplay(arrivals []Arrival, targets []Target, order Order) *replay {
	r := &replay{
		arrivals: arrivals,
		order:    order,
		free:     slotHeap{less: func(a, b slot) bool { return a.speed > b.speed }},
		busy:     slotHeap{less: func(a, b slot) bool { return a.until < b.until }},
		result:   Replay{Responses: make([]time.Duration, len(arrivals))},
	}
	for _, target := range targets {
		for range target.Slots {
			heap.Push(&r.free, slot{speed: target.Speed})
		}
	}
	return r
}

// runUntil advances the simulation to the limit: it completes all tasks that end
// by then and assigns pending tasks to the slots that become free.
func (r *replay) runUntil(limit time.Duration) {
	for r.busy.Len() > 0 && r.busy.slots[0].until <= limit {
		r.now = r.busy.slots[0].until
		// All slots that become free at the same time are released before tasks are
		// assigned, so that the fastest of them is used first.
		for r.busy.Len() > 0 && r.busy.slots[0].until == r.now {
			heap.Push(&r.free, heap.Pop(&r.busy))
		}
		r.assign()
	}
	r.now = limit
}

func (r *replay) assign() {
	for len(r.pending) > 0 && r.free.Len() > 0 {
		job := r.pending[0]
		arrival := &r.arrivals[job.number]
		assigned := heap.Pop(&r.free).(slot)
		assigned.until = r.now + time.Duration(float64(arrival.Tasks[job.next])/assigned.speed)
		heap.Push(&r.busy, assigned)
		r.result.Responses[job.number] = max(r.result.Responses[job.number], assigned.until-arrival.At)
		r.result.Spans = append(r.result.Spans, Span{From: r.now, To: assigned.until, Speed: assigned.speed})
		job.next++
		r.requeue(job, job.next < len(arrival.Tasks))
	}
}

// requeue moves the first pending job to where its next task is scheduled, or
// removes it when it has no more tasks.
func (r *replay) requeue(job pendingJob, hasMore bool) {
	switch {
	case !hasMore:
		r.pending = r.pending[1:]
	case r.order == OrderFair:
		r.pending = append(r.pending[1:], job)
	default:
		r.pending[0] = job
	}
}

// slot is one unit of concurrency of a target. It runs one task at a time.
type slot struct {
	speed float64
	until time.Duration
}

// slotHeap is a priority queue of slots, ordered by less. It implements
// heap.Interface.
type slotHeap struct {
	slots []slot
	less  func(a, b slot) bool
}

// Len returns the number of slots.
func (h *slotHeap) Len() int { return len(h.slots) }

// Less reports whether the slot at index i sorts before the one at index j.
func (h *slotHeap) Less(i, j int) bool { return h.less(h.slots[i], h.slots[j]) }

// Swap swaps the slots at the two indexes.
func (h *slotHeap) Swap(i, j int) { h.slots[i], h.slots[j] = h.slots[j], h.slots[i] }

// Push appends a slot. Callers use heap.Push, which keeps the heap order.
func (h *slotHeap) Push(x any) { h.slots = append(h.slots, x.(slot)) }

// Pop removes the last slot. Callers use heap.Pop, which keeps the heap order.
func (h *slotHeap) Pop() any {
	last := h.slots[len(h.slots)-1]
	h.slots = h.slots[:len(h.slots)-1]
	return last
}
