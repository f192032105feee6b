package ccproof

import (
	"fmt"
	"time"

	"camphorcroft/core/cclease"
)

// sendForeignHeartbeats sends an agent one heartbeat of another process, or a series of them.
func (w *searchWorld) sendForeignHeartbeats(a *replayAgent, span time.Duration) {
	heartbeat := w.foreignHeartbeat(a)
	pause := w.between(time.Millisecond, 200*time.Millisecond)
	end := w.now.Add(span)
	if w.rng.IntN(2) == 0 {
		end = w.now
	}
	var send func()
	send = func() {
		heartbeat.Sequence++
		sent := heartbeat
		a.deliver(func() { w.deliverForeignHeartbeat(a, sent) })
		if w.now.Add(pause).Before(end) {
			w.schedule(pause, send)
		}
	}
	send()
}

// foreignHeartbeat returns a heartbeat that is not of the agent's worker: it has another ID, or
// another start time, which may be missing.
func (w *searchWorld) foreignHeartbeat(a *replayAgent) cclease.Worker {
	heartbeat := a.worker.self()
	heartbeat.Sequence = uint64(w.rng.IntN(1000))
	if w.rng.IntN(3) > 0 {
		heartbeat.ID = fmt.Sprintf("x%d", w.rng.IntN(2))
	}
	switch w.rng.IntN(3) {
	case 0:
		heartbeat.StartTime = w.now
	case 1:
		heartbeat.StartTime = time.Time{}
	default:
		heartbeat.StartTime = w.now.Add(time.Hour)
	}
	if w.rng.IntN(2) == 0 {
		heartbeat.Service = "ledger"
	}
	return heartbeat
}

// deliverForeignHeartbeat delivers a heartbeat. With the guard put off, the agent takes it for
// proof: the call that it raises is answered as it claims.
func (w *searchWorld) deliverForeignHeartbeat(a *replayAgent, heartbeat cclease.Worker) {
	a.manager.Heartbeat(w.now, heartbeat)
	if !w.cfg.off.claims {
		return
	}
	for _, id := range []string{a.worker.id, heartbeat.ID} {
		response := cclease.Response{Status: cclease.StatusWrongInstance}
		if id == heartbeat.ID {
			response = cclease.Response{Status: cclease.StatusOK, StartTime: heartbeat.StartTime}
		}
		call := cclease.PollCall{Worker: id, Sent: w.now, Probe: true}
		a.manager.PollCompleted(w.now, call, cclease.PollResponse{Response: response})
	}
}
