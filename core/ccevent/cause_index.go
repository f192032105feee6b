package ccevent

import (
	"time"

	"camphorcroft/core/ccnode"
)

// incarnationStartTolerance is how long before the start of an incarnation an
// effect may be dated, by another process's clock, and still be attributed to
// that incarnation.
const incarnationStartTolerance = 2 * time.Second

// none stands for the index of a lane or column that does not exist.
const none = -1

// causeIndex finds the lanes that event causes refer to.
type causeIndex struct {
	lanes  []*lane
	byNode map[ccnode.ID][]int // Lane indexes, in ascending order of incarnation.
}

func newCauseIndex(lanes []*lane) *causeIndex {
	c := &causeIndex{lanes: lanes, byNode: make(map[ccnode.ID][]int)}
	for i, l := range lanes {
		c.byNode[l.node.ID] = append(c.byNode[l.node.ID], i)
	}
	return c
}

// lookup returns the lane of the event's cause and how many events of that lane
// must precede the event, or none. A cause in the event's own lane is ignored,
// since sequence numbers already order the lane.
func (c *causeIndex) lookup(own int, event *Event) (int, int) {
	if event.Cause.Node == "" {
		return none, 0
	}
	found := c.laneOfCause(event)
	if found == none || found == own {
		return none, 0
	}
	before := c.lanes[found].upTo(event.Cause.Seq)
	if before == 0 {
		return none, 0
	}
	return found, before
}

// laneOfCause returns the lane of the incarnation that the event's cause belongs
// to, or none.
func (c *causeIndex) laneOfCause(event *Event) int {
	candidates := c.byNode[event.Cause.Node]
	if event.Cause.Incarnation == 0 {
		return c.likelyLane(candidates, event.At)
	}
	for _, i := range candidates {
		if c.lanes[i].node.Incarnation == event.Cause.Incarnation {
			return i
		}
	}
	return none
}

// likelyLane returns the newest candidate incarnation that had started by the
// time of the effect, or the oldest one if, by the clocks, none had.
func (c *causeIndex) likelyLane(candidates []int, at time.Time) int {
	for i := len(candidates) - 1; i > 0; i-- {
		start := time.UnixMicro(int64(c.lanes[candidates[i]].node.Incarnation))
		if !start.After(at.Add(incarnationStartTolerance)) {
			return candidates[i]
		}
	}
	if len(candidates) == 0 {
		return none
	}
	return candidates[0]
}
