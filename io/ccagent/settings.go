package ccagent

import (
	"context"
	"time"

	"camphorcroft/core/ccsettings"
	settingsio "camphorcroft/io/ccsettings"
)

// watchWait is how long one watch of the settings waits. Each is one call to the
// store, and there is one at a time for each cell. Its end shows that there is
// nothing newer, so it is short.
const watchWait = 600 * time.Millisecond

func (a *Agent) newReader() *settingsio.Reader {
	return settingsio.NewReader(settingsio.ReaderConfig{Store: countedStore{a.cfg.Store, a.stats.storeCalls}, Log: a.log, Wait: watchWait})
}

// readSettings reads the settings in force from the store.
func (a *Agent) readSettings(ctx context.Context) (*ccsettings.AgentView, error) {
	settings, err := a.reader.Load(ctx)
	if err != nil {
		return nil, err
	}
	return settings.AgentView(), nil
}

// watchSettings follows the settings in the store until the context ends, while
// this agent leads.
func (a *Agent) watchSettings(ctx context.Context) {
	_ = a.reader.Watch(ctx, func(settings *ccsettings.Effective) {
		view := settings.AgentView()
		inForce := make(chan struct{})
		a.post(func(now time.Time) {
			a.setView(now, view)
			close(inForce)
		})
		// The reader counts the version as passed on when this returns.
		select {
		case <-inForce:
		case <-ctx.Done():
		}
	})
}
