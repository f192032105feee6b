package ccevent

import (
	"context"
	"net/netip"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// maxKept bounds the events that a follower keeps to put new ones into order.
const maxKept = 200_000

// Follower keeps one time line of many processes up to date.
type Follower struct {
	collector *Collector
	job       ccjob.ID
	last      map[netip.AddrPort]lastRead
	events    []ccevent.Event
	parts     map[ccnode.Ref]uint64
	silent    map[netip.AddrPort]error
	printed   map[ccnode.Ref]uint64 // The newest event of each process that New returned.
	settled   map[ccnode.Ref]uint64 // The newest that the last but one reading knew.
}

// lastRead is how far a process has been read.
type lastRead struct {
	node ccnode.Ref
	seq  uint64
}

// NewFollower returns a follower that has read nothing. With a job set, the
// processes leave out the events of other jobs.
func NewFollower(collector *Collector, job ccjob.ID) *Follower {
	return &Follower{
		collector: collector,
		job:       job,
		last:      make(map[netip.AddrPort]lastRead),
		parts:     make(map[ccnode.Ref]uint64),
		silent:    make(map[netip.AddrPort]error),
		printed:   make(map[ccnode.Ref]uint64),
		settled:   make(map[ccnode.Ref]uint64),
	}
}

// Read asks the processes for what is new, and returns the time line of all that
// is kept.
func (f *Follower) Read(ctx context.Context, addrs []netip.AddrPort) ccevent.Timeline {
	for _, event := range f.events {
		f.settled[event.Node] = max(f.settled[event.Node], event.Seq)
	}
	queries := make([]Query, 0, len(addrs))
	for _, addr := range addrs {
		queries = append(queries, Query{Addr: addr, After: f.last[addr].seq, Job: f.job})
	}
	clear(f.silent)
	for _, reply := range f.collector.Collect(ctx, queries) {
		if f.restarted(&reply) {
			// The numbers have begun anew, so the query left out events.
			reply = f.collector.ask(ctx, Query{Addr: reply.Addr, Job: f.job})
		}
		f.take(&reply)
	}
	f.trim()
	parts := make([]ccevent.PartialLane, 0, len(f.parts))
	for node, dropped := range f.parts {
		parts = append(parts, ccevent.PartialLane{Node: node, Dropped: dropped})
	}
	return ccevent.Merge(f.events, parts...)
}

// Silent returns the processes that did not answer the last reading, and why.
func (f *Follower) Silent() map[netip.AddrPort]error { return f.silent }

// New returns the steps of the last time line that it has not returned before. A
// step whose cause may not have been read yet is held back until the next
// reading.
func (f *Follower) New(timeline ccevent.Timeline) []ccevent.Step {
	end := 0
	for i := range timeline.Steps {
		step := &timeline.Steps[i]
		if step.Seq <= f.settled[step.Node] {
			end = i + 1
		}
	}
	var steps []ccevent.Step
	for _, step := range timeline.Steps[:end] {
		if step.Seq > f.printed[step.Node] {
			f.printed[step.Node] = step.Seq
			steps = append(steps, step)
		}
	}
	return steps
}

// restarted reports whether the reply is from another life than the last one.
func (f *Follower) restarted(reply *Reply) bool {
	last := f.last[reply.Addr]
	return reply.Err == nil && reply.Node.ID != "" && last.seq > 0 && reply.Node != last.node
}

func (f *Follower) take(reply *Reply) {
	if reply.Err != nil {
		f.silent[reply.Addr] = reply.Err
		return
	}
	f.events = append(f.events, reply.Events...)
	f.last[reply.Addr] = lastRead{node: reply.Node, seq: reply.Newest}
	if n := len(reply.Events); n > 0 {
		f.last[reply.Addr] = lastRead{node: reply.Events[n-1].Node, seq: max(reply.Newest, reply.Events[n-1].Seq)}
	}
	if _, known := f.parts[reply.Node]; f.job != "" && !known && reply.Node.ID != "" {
		f.parts[reply.Node] = max(reply.Oldest, 1) - 1
	}
}

// trim forgets the events that were read first when there are too many. What
// was forgotten is no gap.
func (f *Follower) trim() {
	if len(f.events) <= maxKept {
		return
	}
	forgotten := f.events[:len(f.events)-maxKept]
	for i := range forgotten {
		if _, known := f.parts[forgotten[i].Node]; !known {
			f.parts[forgotten[i].Node] = 0
		}
	}
	f.events = append([]ccevent.Event(nil), f.events[len(forgotten):]...)
}
