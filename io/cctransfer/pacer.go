package cctransfer

import "time"

const (
	// paceTarget is the time in which a body is read at a part of the link's rate, if it can be. A
	// longer one takes all of the link: a change of the settings must be in force in 4 s.
	paceTarget = 2500 * time.Millisecond
	// paceShare is the part of the link's rate.
	paceShare = 0.6
	// pacedPart is how much is read at a time, so that little of a body waits on the link for the
	// reader, and in front of other traffic.
	pacedPart = 4 << 10
	// blockedRead is how long a read takes at least whose data wasn't there yet. Such reads show
	// the link's rate.
	blockedRead = time.Millisecond
	// unpacedBytes is the size up to which a body is not paced, and maxPause the longest pause.
	unpacedBytes = 16 << 10
	maxPause     = 100 * time.Millisecond
)

// pacer reads a large body more slowly than the link could bring it. The sender's window closes
// then, and the link has room for other traffic, such as the reports that keep sessions open.
type pacer struct {
	start  time.Time
	length int64 // Of the body. Negative is unknown.
	// blockedBytes and blockedTime are those of the reads that had to wait for their data.
	blockedBytes int
	blockedTime  time.Duration
	pause        time.Duration // Before the next read.
}

// observe records a read.
func (p *pacer) observe(n int, took time.Duration) {
	// After a pause, a part of the data was there already.
	if took >= blockedRead && p.pause == 0 {
		p.blockedBytes += n
		p.blockedTime += took
	}
}

// next returns how long to wait before the next read.
func (p *pacer) next(now time.Time, received int) time.Duration {
	p.pause = p.delay(now, received)
	return p.pause
}

func (p *pacer) delay(now time.Time, received int) time.Duration {
	elapsed := now.Sub(p.start)
	left := paceTarget - elapsed
	if received < unpacedBytes || p.blockedTime == 0 || left <= 0 {
		return 0
	}
	rate := paceShare * float64(p.blockedBytes) / p.blockedTime.Seconds()
	if p.length >= 0 {
		rate = max(rate, float64(p.length-int64(received))/left.Seconds())
	}
	due := time.Duration(float64(received) / rate * float64(time.Second))
	return min(max(due-elapsed, 0), left, maxPause)
}
