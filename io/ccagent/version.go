package ccagent

import (
	"sync/atomic"
	"time"

	"camphorcroft/core/ccevent"
)

// versionSince is when the settings in force came into force. The control
// goroutine writes it, and metrics read it.
type versionSince struct {
	at atomic.Pointer[time.Time]
}

// ageSeconds returns for how long they have been in force, or zero with none.
func (v *versionSince) ageSeconds() float64 {
	at := v.at.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at).Seconds()
}

// noteVersion records that another version of the settings came into force.
func (a *Agent) noteVersion(now time.Time) {
	version := int64(a.table.Version())
	if a.stats.version.Value() == version {
		return
	}
	a.stats.version.Set(version)
	a.stats.since.at.Store(&now)
	a.ring.Record(now, ccevent.Event{Kind: ccevent.KindVersion, Index: ccevent.NoIndex, Count: int(version)})
}
