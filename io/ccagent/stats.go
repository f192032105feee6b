package ccagent

import "expvar"

// stats counts what an agent does. Several agents may live in one process, so
// nothing here is published under a global name.
type stats struct {
	all                        *expvar.Map
	dispatches, ignored        *expvar.Int
	started, reports, offers   *expvar.Int
	revokes, recovers, pauses  *expvar.Int
	running, marks             *expvar.Int
	resultBytes, version       *expvar.Int
	controlBytesIn, controlOut *expvar.Int
	storeCalls                 *expvar.Int
	bounced, finished          *expvar.Map
}

func newStats() *stats {
	s := &stats{all: new(expvar.Map).Init()}
	count := func(name string) *expvar.Int {
		v := new(expvar.Int)
		s.all.Set(name, v)
		return v
	}
	byCode := func(name string) *expvar.Map {
		v := new(expvar.Map).Init()
		s.all.Set(name, v)
		return v
	}
	s.dispatches, s.ignored = count("dispatches"), count("ignored")
	s.started, s.reports, s.offers = count("started"), count("reports"), count("offers")
	s.revokes, s.recovers, s.pauses = count("revokes"), count("recovers"), count("pauses")
	s.running, s.marks = count("running"), count("marks")
	s.resultBytes, s.version = count("resultBytes"), count("version")
	s.controlBytesIn, s.controlOut = count("controlBytesIn"), count("controlBytesOut")
	s.storeCalls = count("storeCalls")
	s.bounced, s.finished = byCode("bounced"), byCode("finished")
	return s
}
