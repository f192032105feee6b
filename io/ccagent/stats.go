package ccagent

import (
	"expvar"

	"camphorcroft/core/ccnode"
	"camphorcroft/io/ccmetric"
)

// stats counts what an agent does.
type stats struct {
	set                             *ccmetric.Set
	dispatches, ignored             *expvar.Int
	started, reports, offers        *expvar.Int
	revokes, recovers, pauses       *expvar.Int
	running, marks, resultBytes     *expvar.Int
	version, storeCalls             *expvar.Int
	controlBytesIn, controlBytesOut *expvar.Int
	bounced, finished               *expvar.Map
	slots                           *expvar.Int
	cell, cellTerm, cellLeads       *expvar.Int
	since                           versionSince
}

func newStats(node ccnode.ID, domain string) *stats {
	set := ccmetric.NewSet(string(node))
	set.Func("domain", func() any { return domain })
	s := &stats{
		set:        set,
		dispatches: set.Int("dispatches"), ignored: set.Int("dispatchesIgnored"),
		started: set.Int("tasksStarted"), reports: set.Int("reports"), offers: set.Int("offers"),
		revokes: set.Int("revokes"), recovers: set.Int("recovers"), pauses: set.Int("pauses"),
		running: set.Int("tasksRunning"), marks: set.Int("marks"), resultBytes: set.Int("resultBytes"),
		version: set.Int("settingsVersion"), storeCalls: set.Int("storeCalls"),
		controlBytesIn: set.Int("controlBytesIn"), controlBytesOut: set.Int("controlBytesOut"),
		bounced: set.Map("tasksBounced"), finished: set.Map("tasksFinished"),
		slots: set.Int("slots"),
		cell:  set.Int("cell"), cellTerm: set.Int("cellTerm"), cellLeads: set.Int("cellLeads"),
	}
	set.Func("settingsAgeSeconds", func() any { return s.since.ageSeconds() })
	return s
}
