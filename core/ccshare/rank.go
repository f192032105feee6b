package ccshare

import "time"

// Rank orders jobs of the same priority. The zero value goes first.
type Rank struct {
	// OverShare is true if the job's route has used more than its share.
	OverShare bool
	// At orders jobs that are equal in this, the earliest first.
	At time.Time
}

// overShareSlack is added to the slack of a job whose route is over its share. It is above
// the difference of any two slacks: callers wait 1.5 s, and work has the bound maxRankOffset.
const overShareSlack = 10 * time.Second

// Compare returns a negative number if r goes before other.
func (r Rank) Compare(other Rank) int {
	if r.OverShare != other.OverShare {
		if other.OverShare {
			return -1
		}
		return 1
	}
	return r.At.Compare(other.At)
}

// Slack returns the rank relative to now, which processes with different clocks can
// compare. The order is that of Compare.
func (r Rank) Slack(now time.Time) time.Duration {
	slack := r.At.Sub(now)
	if r.OverShare {
		slack += overShareSlack
	}
	return slack
}
