package ccfit

// Paces has the pace of the fastest worker of each service and label. The zero value has
// none.
type Paces struct {
	fastest map[workers]float64
}

// workers are those of a service with a label, or all of them if the label is empty.
type workers struct{ service, label string }

// Clear removes all workers.
func (p *Paces) Clear() { clear(p.fastest) }

// Add adds a worker.
func (p *Paces) Add(service string, labels []string, pace float64) {
	if p.fastest == nil {
		p.fastest = map[workers]float64{}
	}
	p.add(workers{service: service}, pace)
	for _, label := range labels {
		p.add(workers{service: service, label: label}, pace)
	}
}

func (p *Paces) add(key workers, pace float64) {
	if fastest, ok := p.fastest[key]; !ok || pace < fastest {
		p.fastest[key] = pace
	}
}

// Fastest returns the least slowdown of a task on any worker with the label, which may be
// empty. Outside its rack, if it has one, it takes awayFactor times as long. Without such a
// worker it reports false.
func (p *Paces) Fastest(service, label, rack string, awayFactor float64) (float64, bool) {
	pace, ok := p.fastest[workers{service: service, label: label}]
	if rack == "" || awayFactor <= 1 {
		return pace, ok
	}
	pace *= awayFactor
	if home, known := p.fastest[workers{service: service, label: rack}]; known && (!ok || home < pace) {
		return home, true
	}
	return pace, ok
}
