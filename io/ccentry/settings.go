package ccentry

import (
	"context"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccsettings"
)

// SettingsSource follows the settings in the store.
type SettingsSource interface {
	// Watch calls take with each newer version, until the context ends. It goes on
	// through outages of the store.
	Watch(ctx context.Context, take func(*ccsettings.Effective)) error
}

func (e *Entry) followSettings(ctx context.Context) {
	err := e.cfg.Settings.Watch(ctx, func(settings *ccsettings.Effective) {
		e.do(func(now time.Time) { e.takeSettings(now, settings) })
	})
	if err != nil && ctx.Err() == nil {
		e.log.Error(err, "Settings are no longer followed.")
	}
}

func (e *Entry) takeSettings(now time.Time, settings *ccsettings.Effective) {
	if settings.Version < e.version {
		return
	}
	e.version, e.versionSince = settings.Version, now
	e.dispatcher.SetSettings(now, settings)
	e.claims.configure(settings)
	e.chooseAgents(now)
	e.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindVersion, Index: ccevent.NoIndex, Count: int(settings.Version)})
	e.log.Info("Settings are in force.", "version", settings.Version)
	if e.cfg.SetLogLevel != nil {
		e.cfg.SetLogLevel(settings.Fleet.LogLevel)
	}
}

// ready reports whether the balancer may send clients here.
func (e *Entry) ready() bool {
	return !e.unready && e.claims.ready() && e.version > 0 && e.dispatcher.UsableAgents() > 0
}
