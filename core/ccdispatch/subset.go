package ccdispatch

import "camphorcroft/core/ccnode"

// SetOutsideSubset says whether an agent is outside the entry's subset. Such an agent is
// asked about tasks that others left there, and sent no new ones.
func (d *Dispatcher) SetOutsideSubset(id ccnode.ID, guest bool) {
	if guest {
		d.guests[id] = struct{}{}
		return
	}
	delete(d.guests, id)
}

// OutsideSubset reports whether an agent is outside the entry's subset.
func (d *Dispatcher) OutsideSubset(id ccnode.ID) bool {
	_, guest := d.guests[id]
	return guest
}

// InFlight returns how many tasks of this entry are out at an agent.
func (d *Dispatcher) InFlight(id ccnode.ID) int {
	if a, ok := d.agents[id]; ok {
		return len(a.out)
	}
	return 0
}

// SubsetSize returns about how many targets of a service one entry uses. Zero is
// all of them.
func (d *Dispatcher) SubsetSize(service string) int {
	return d.settings.Services[service].SubsetTargets
}
