package ccevent

import (
	"time"

	"camphorcroft/core/ccnode"
)

// lifeSlack is how much earlier than the start of a process's life an effect
// may seem to be, by another clock, and still be taken for an effect of it.
const lifeSlack = 2 * time.Second

// none is the index of no lane.
const none = -1

// causes finds the lanes that causes name.
type causes struct {
	lanes []*lane
	lives map[ccnode.ID][]int // Indexes of lanes, by incarnation upwards.
}

func newCauses(lanes []*lane) *causes {
	c := &causes{lanes: lanes, lives: make(map[ccnode.ID][]int)}
	for i, l := range lanes {
		c.lives[l.node.ID] = append(c.lives[l.node.ID], i)
	}
	return c
}

// of returns the lane and the number of its events that come before the event,
// or none. An event of the same lane comes before by its number anyway.
func (c *causes) of(own int, event *Event) (int, int) {
	if event.Cause.Node == "" {
		return none, 0
	}
	found := c.life(event)
	if found == none || found == own {
		return none, 0
	}
	before := c.lanes[found].upTo(event.Cause.Seq)
	if before == 0 {
		return none, 0
	}
	return found, before
}

// life returns the lane of the life that the event's cause is of, or none.
func (c *causes) life(event *Event) int {
	lives := c.lives[event.Cause.Node]
	if event.Cause.Incarnation == 0 {
		return c.likelyLife(lives, event.At)
	}
	for _, i := range lives {
		if c.lanes[i].node.Incarnation == event.Cause.Incarnation {
			return i
		}
	}
	return none
}

// likelyLife returns the newest of the lives that had begun at the time of the
// effect, or the oldest when the clocks say that none had.
func (c *causes) likelyLife(lives []int, at time.Time) int {
	for i := len(lives) - 1; i > 0; i-- {
		start := time.UnixMicro(int64(c.lanes[lives[i]].node.Incarnation))
		if !start.After(at.Add(lifeSlack)) {
			return lives[i]
		}
	}
	if len(lives) == 0 {
		return none
	}
	return lives[0]
}
