package cctransfer

import "time"

const (
	defaultSilence     = 2 * time.Second
	defaultWindow      = 5 * time.Second
	defaultWindowBytes = 16 << 10
)

// Limits configures a Guard. Zero values select the defaults.
type Limits struct {
	// Response is the longest time until the response begins. It has no default.
	Response time.Duration
	// Silence is the longest time for which nothing of the body arrives. The default is 2 s.
	Silence time.Duration
	// WindowBytes is the least that must arrive in each Window, unless the body ends in it. The
	// defaults are 16 KiB and 5 s.
	Window      time.Duration
	WindowBytes int
	// Hurry returns whether the body must be read as fast as the link brings it. It is called
	// when the response has begun. Nil is no.
	Hurry func() bool
}

// withDefaults returns the limits with the defaults for the values that are zero.
func (l Limits) withDefaults() Limits {
	if l.Silence <= 0 {
		l.Silence = defaultSilence
	}
	if l.Window <= 0 {
		l.Window = defaultWindow
	}
	if l.WindowBytes <= 0 {
		l.WindowBytes = defaultWindowBytes
	}
	return l
}
