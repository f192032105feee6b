package cctransfer

import (
	"testing"
	"time"
)

// playPaced reads a body over a link that brings bytesPerSecond, and returns how long it takes.
func playPaced(length int64, bytesPerSecond float64) time.Duration {
	start := time.Unix(0, 0)
	now, received := start, 0
	p := pacer{start: start, length: length}
	arrived := 0.0 // What the link has brought, of a window of 64 KB beyond what was read.
	for int64(received) < length {
		n := min(pacedPart, int(length)-received)
		wait := time.Duration(0)
		if missing := float64(received+n) - arrived; missing > 0 {
			wait = time.Duration(missing / bytesPerSecond * float64(time.Second))
		}
		pause := p.next(now, received)
		passed := wait + pause
		arrived = min(arrived+passed.Seconds()*bytesPerSecond, float64(received+64<<10))
		arrived = max(arrived, float64(received+n))
		received += n
		p.observe(n, wait)
		now = now.Add(passed)
	}
	return now.Sub(start)
}

// Guards against a large response that takes all of a link, and against one that is late since it
// leaves room for others.
func TestPacer(t *testing.T) {
	const size = 348_000
	for _, c := range []struct {
		name     string
		megabits float64
		min, max time.Duration
	}{
		{"a wide link", 200, 0, 100 * time.Millisecond},
		{"a link with time to spare", 4, 900 * time.Millisecond, 1400 * time.Millisecond},
		{"a narrow link", 2, 2 * time.Second, paceTarget + 200*time.Millisecond},
		{"a link too narrow to leave room", 1, 2700 * time.Millisecond, 3200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			if took := playPaced(size, c.megabits*1e6/8); took < c.min || took > c.max {
				t.Errorf("got %v, want %v to %v", took, c.min, c.max)
			}
		})
	}
}
