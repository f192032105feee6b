package cclab

// connection is a caller's connection. It stays with its entry as long as the balancer does.
type connection struct {
	domain int // Where the caller is now.
	entry  *entry
}

// connect opens the connections of the callers of all domains, each to a random entry of its
// domain.
func (l *Lab) connect() {
	for domain, callers := range l.cfg.Callers {
		l.connections = append(l.connections, nil)
		for range callers {
			l.connections[domain] = append(l.connections[domain], &connection{domain: domain, entry: l.balance(domain)})
		}
	}
	for _, s := range l.cfg.Shifts {
		l.clock.after(s.At, func() { l.shift(s) })
	}
}

// shift moves callers, and moves them back later.
func (l *Lab) shift(s Shift) {
	all := l.connections[s.From]
	moved := all[:int(s.Share*float64(len(all))+0.5)]
	before := make([]connection, len(moved))
	for i, c := range moved {
		before[i] = *c
		c.domain, c.entry = s.To, l.balance(s.To)
	}
	l.clock.after(s.For, func() {
		for i, c := range moved {
			*c = before[i]
		}
	})
}

// choose returns the entry for a job from a domain, and the domain in which its caller is now.
func (l *Lab) choose(domain int) (*entry, int) {
	if len(l.connections) == 0 {
		return l.balance(domain), domain
	}
	c := l.connections[domain][l.rng.IntN(len(l.connections[domain]))]
	if !c.entry.inPool {
		c.entry = l.balance(c.domain)
	}
	return c.entry, c.domain
}
