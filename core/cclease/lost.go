package cclease

// lostWorker is the last worker that crashed or left. Its zero value is none.
type lostWorker struct {
	Worker
	// left is set if the worker said that it was leaving.
	left bool
}

// isIncarnation reports whether the worker is the one that was lost, and has not restarted.
func (l lostWorker) isIncarnation(worker Worker) bool {
	return !l.StartTime.IsZero() && l.sameIncarnation(worker)
}

// sent reports whether a heartbeat was sent before the worker was lost. A worker that was
// only unreachable sends more of them.
func (l lostWorker) sent(heartbeat Worker) bool {
	if l.ID != heartbeat.ID || l.StartTime.IsZero() {
		return false
	}
	return heartbeat.StartTime.Before(l.StartTime) || l.isIncarnation(heartbeat) && (l.left || heartbeat.Sequence <= l.Sequence)
}
