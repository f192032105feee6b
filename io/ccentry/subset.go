package ccentry

import (
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

const (
	// guestTime is how long a connection is kept to an agent that is not of this
	// entry's subset, after it was last asked something.
	guestTime = 10 * time.Second
	// guestCheck is how often such connections are looked at.
	guestCheck = time.Second
)

// chooseAgents connects to the agents of this entry's subset and disconnects
// from others. It is called when members, roster or settings have changed.
func (e *Entry) chooseAgents(now time.Time) {
	sharing := e.sharing()
	for _, record := range e.presence.cells {
		for i := range record.Members {
			member := &record.Members[i]
			entries, bounded := sharing[member.Service]
			mine := !bounded || e.presence.roster.Uses(e.self.ID, member.Node.ID, entries)
			e.dispatcher.SetOutsideSubset(member.Node.ID, !mine)
			if _, linked := e.links[member.Node.ID]; mine || linked {
				e.connect(now, member)
			}
		}
	}
}

// sharing returns how many entries use each agent, by service, for the services
// that bound an entry's subset.
func (e *Entry) sharing() map[string]int {
	agents := make(map[string]int)
	for _, record := range e.presence.cells {
		for i := range record.Members {
			agents[record.Members[i].Service]++
		}
	}
	sharing := make(map[string]int)
	for service, count := range agents {
		if subset := e.dispatcher.SubsetSize(service); subset > 0 {
			sharing[service] = e.presence.roster.EntriesPerAgent(subset, count)
		}
	}
	return sharing
}

// dropGuests disconnects from agents outside the subset that hold nothing of
// this entry's. It is called with each tick.
func (e *Entry) dropGuests(now time.Time) {
	if now.Sub(e.guestsChecked) < guestCheck {
		return
	}
	e.guestsChecked = now
	for id, l := range e.links {
		if e.dispatcher.OutsideSubset(id) && e.dispatcher.InFlight(id) == 0 && now.Sub(l.asked) > guestTime {
			e.disconnect(now, id)
		}
	}
}

// visit connects to an agent outside the subset for the sake of one request.
func (e *Entry) visit(now time.Time, id ccnode.ID) {
	l, ok := e.links[id]
	if !ok {
		member := e.presence.member(id)
		if member == nil {
			return
		}
		e.dispatcher.SetOutsideSubset(id, true)
		l = e.connect(now, member)
	}
	l.asked = now
}

// member returns what the cells' records say of an agent, or nil.
func (p *presence) member(id ccnode.ID) *ccwire.Member {
	for _, record := range p.cells {
		for i := range record.Members {
			if record.Members[i].Node.ID == id {
				return &record.Members[i]
			}
		}
	}
	return nil
}
