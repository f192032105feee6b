package ccproof

import (
	"time"

	"camphorcroft/core/ccreplay"
)

// resetSearch dwells on callers whose connections are reset while they send a job.
func resetSearch() searchConfig {
	c := calmSearch()
	c.weights = faultWeights{reset: 1}
	c.entries, c.resetRequests = 3, 50
	return c
}

// submitReset has a caller send a job by a connection that is reset meanwhile, and send it again
// at once, by another connection, to another entry. The first entry reads the request behind the
// reset: io/ccreplay takes none of a connection that is closed.
func (w *searchWorld) submitReset(first int, request ccreplay.Request) {
	e := w.entries[first]
	ref := e.ref
	w.token++
	early := request
	early.Token, early.Deadline = w.token, w.now.Add(w.cfg.deadline)
	w.logf("caller sends %s to %s, by a connection that is reset", request.ID, ref)
	w.schedule(w.networkDelay(), func() {
		e.deliver(func() {
			if e.ref != ref || !w.cfg.off.closedCallers {
				return
			}
			e.scheduler.Submit(w.now, early)
			w.schedule(time.Duration(w.rng.IntN(2000))*time.Microsecond, func() {
				e.deliver(func() { e.scheduler.Cancel(w.now, early.ID, early.Token) })
			})
		})
	})
	other := w.entries[(first+1+w.rng.IntN(len(w.entries)-1))%len(w.entries)]
	w.schedule(w.networkDelay(), func() { w.submit(other, request, w.cfg.resends) })
}
