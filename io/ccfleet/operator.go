package ccfleet

import (
	"context"
	"maps"
	"sync"

	"camphorcroft/core/ccsettings"
)

// operator changes the settings, and lets processes follow them.
type operator struct {
	mu       sync.Mutex // Guards what follows.
	settings *ccsettings.Effective
	changed  chan struct{} // Closed and replaced with each version.
}

func newOperator(first *ccsettings.Effective) *operator {
	first.Version = 1
	return &operator{settings: first, changed: make(chan struct{})}
}

// change puts a new version into force.
func (o *operator) change(change func(*ccsettings.Effective)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := *o.settings
	next.Domains = maps.Clone(next.Domains)
	next.Version++
	change(&next)
	o.settings = &next
	close(o.changed)
	o.changed = make(chan struct{})
}

// Watch calls take with each newer version, until the context ends.
func (o *operator) Watch(ctx context.Context, take func(*ccsettings.Effective)) error {
	for {
		o.mu.Lock()
		settings, changed := o.settings, o.changed
		o.mu.Unlock()
		take(settings)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
