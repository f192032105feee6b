package ccdispatch

import "camphorcroft/core/ccnode"

// SetOutsideSubset sets whether an agent is outside the entry's subset. Such an
// agent is only asked about tasks that other entries sent to it, and gets no
// new ones.
func (d *Dispatcher) SetOutsideSubset(id ccnode.ID, outside bool) {
	if outside {
		d.outsideSubset[id] = struct{}{}
		return
	}
	delete(d.outsideSubset, id)
}

// OutsideSubset reports whether an agent is outside the entry's subset.
func (d *Dispatcher) OutsideSubset(id ccnode.ID) bool {
	_, outside := d.outsideSubset[id]
	return outside
}

// InFlight returns how many tasks of this entry are in flight at an agent.
func (d *Dispatcher) InFlight(id ccnode.ID) int {
	if a, ok := d.agents[id]; ok {
		return len(a.inFlight)
	}
	return 0
}

// SubsetSize returns the approximate number of targets of a service that one
// entry uses. Zero means all targets.
func (d *Dispatcher) SubsetSize(service string) int {
	return d.settings.Services[service].SubsetTargets
}
