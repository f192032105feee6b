package ccreplay

import "time"

const (
	// quietThreshold is the time without a report of any agent from which on it counts as common
	// silence. Each agent sends a report every 150 ms, so it has none in ordinary operation.
	quietThreshold = 200 * time.Millisecond
	// minQuietAgents is the number of agents with sessions from which on their common silence
	// tells of the entry's link, and not of them.
	minQuietAgents = 3
	// maxCommonSilence limits how much longer a session is kept for it. The session is closed
	// before its runs are certainly over, 1.15 s after the last report.
	maxCommonSilence = 500 * time.Millisecond
)

// quiet measures for how long no agent has been heard.
type quiet struct {
	total time.Duration // Of all common silences that have ended.
	last  time.Time     // The last report of any agent.
}

// heard records a report.
func (q *quiet) heard(now time.Time) {
	q.total = q.at(now)
	q.last = now
}

// at returns the sum of all common silences up to now.
func (q *quiet) at(now time.Time) time.Duration {
	if silence := now.Sub(q.last); !q.last.IsZero() && silence >= quietThreshold {
		return q.total + silence
	}
	return q.total
}
