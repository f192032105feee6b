package ccload

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Order is how the ideal replay shares slots among waiting jobs.
type Order string

const (
	// OrderFirstCome finishes handing out the oldest job first.
	OrderFirstCome Order = "firstCome"
	// OrderFair hands out one task of each waiting job in turn.
	OrderFair Order = "fair"
)

// Replay is the outcome of an ideal replay.
type Replay struct {
	// Responses has each arrival's response, without any round trip.
	Responses []time.Duration
	// Spans has each task's time at a target.
	Spans []Span
}

// Span is the time that one task spends at a target.
type Span struct {
	From, To time.Duration
	Speed    float64
}

// inside is the nominal work of the span between two times.
func (s Span) inside(from, to time.Duration) time.Duration {
	overlap := max(min(s.To, to)-max(s.From, from), 0)
	return time.Duration(float64(overlap) * s.Speed)
}

// Ideal replays the arrivals on the targets with no latency and exact knowledge:
// each task goes to the fastest free slot, or waits.
func Ideal(arrivals []Arrival, targets []Target, order Order) *Replay {
	r := newReplay(arrivals, targets, order)
	for i := range arrivals {
		r.runUntil(arrivals[i].At)
		r.waiting = append(r.waiting, waitingJob{number: i})
		r.assign()
	}
	for r.busy.Len() > 0 {
		r.runUntil(r.busy.slots[0].until)
	}
	return &r.done
}

// IdealAlone returns what a job would take with the fleet to itself, without any
// round trip.
func IdealAlone(arrival Arrival, targets []Target) time.Duration {
	arrival.At = 0
	return Ideal([]Arrival{arrival}, targets, OrderFirstCome).Responses[0]
}

// IdealWithJitter replays the arrivals as Ideal does, each up to the given time later.
// It shows how much the responses of single jobs differ between two ideal runs,
// which no policy can come below.
func IdealWithJitter(arrivals []Arrival, targets []Target, order Order, most time.Duration, random *rand.Rand) []time.Duration {
	moved := slices.Clone(arrivals)
	for i := range moved {
		moved[i].At += time.Duration(random.Float64() * float64(most))
	}
	slices.SortStableFunc(moved, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	responses := make([]time.Duration, len(arrivals))
	for i, response := range Ideal(moved, targets, order).Responses {
		responses[moved[i].Number] = response
	}
	return responses
}

// waitingJob is a job with tasks that are not handed out.
type waitingJob struct {
	number int
	next   int // The next task.
}

// replay is the state of an ideal replay.
type replay struct {
	arrivals []Arrival
	order    Order
	now      time.Duration
	waiting  []waitingJob
	free     slotHeap // Fastest first.
	busy     slotHeap // First to end first.
	done     Replay
}

func newReplay(arrivals []Arrival, targets []Target, order Order) *replay {
	r := &replay{
		arrivals: arrivals,
		order:    order,
		free:     slotHeap{less: func(a, b slot) bool { return a.speed > b.speed }},
		busy:     slotHeap{less: func(a, b slot) bool { return a.until < b.until }},
		done:     Replay{Responses: make([]time.Duration, len(arrivals))},
	}
	for _, target := range targets {
		for range target.Slots {
			heap.Push(&r.free, slot{speed: target.Speed})
		}
	}
	return r
}

// runUntil ends all tasks that are due by the time, and hands out what waits.
func (r *replay) runUntil(end time.Duration) {
	for r.busy.Len() > 0 && r.busy.slots[0].until <= end {
		r.now = r.busy.slots[0].until
		// All that end at one moment are free before anything is handed out.
		for r.busy.Len() > 0 && r.busy.slots[0].until == r.now {
			heap.Push(&r.free, heap.Pop(&r.busy))
		}
		r.assign()
	}
	r.now = end
}

func (r *replay) assign() {
	for len(r.waiting) > 0 && r.free.Len() > 0 {
		job := r.waiting[0]
		arrival := &r.arrivals[job.number]
		used := heap.Pop(&r.free).(slot)
		used.until = r.now + time.Duration(float64(arrival.Tasks[job.next])/used.speed)
		heap.Push(&r.busy, used)
		r.done.Responses[job.number] = max(r.done.Responses[job.number], used.until-arrival.At)
		r.done.Spans = append(r.done.Spans, Span{From: r.now, To: used.until, Speed: used.speed})
		job.next++
		r.requeue(job, job.next < len(arrival.Tasks))
	}
}

// requeue puts the first job back where its next task is due.
func (r *replay) requeue(job waitingJob, hasMore bool) {
	switch {
	case !hasMore:
		r.waiting = r.waiting[1:]
	case r.order == OrderFair:
		r.waiting = append(r.waiting[1:], job)
	default:
		r.waiting[0] = job
	}
}

// slot runs one task at a time.
type slot struct {
	speed float64
	until time.Duration
}

// slotHeap orders slots by less.
type slotHeap struct {
	slots []slot
	less  func(a, b slot) bool
}

// Len returns the number of slots.
func (h *slotHeap) Len() int { return len(h.slots) }

// Less compares two slots by their places.
func (h *slotHeap) Less(i, j int) bool { return h.less(h.slots[i], h.slots[j]) }

// Swap exchanges two slots by their places.
func (h *slotHeap) Swap(i, j int) { h.slots[i], h.slots[j] = h.slots[j], h.slots[i] }

// Push adds a slot at the end. Use heap.Push.
func (h *slotHeap) Push(x any) { h.slots = append(h.slots, x.(slot)) }

// Pop removes the slot at the end. Use heap.Pop.
func (h *slotHeap) Pop() any {
	last := h.slots[len(h.slots)-1]
	h.slots = h.slots[:len(h.slots)-1]
	return last
}
