package cccrash

import "time"

// crashRecord is a crash of a worker. A crash has one cause.
type crashRecord struct {
	at       time.Time
	suspects []*taskRecord
	// cause is a task of the job that counts as the cause, or nil. Another one takes its
	// place if the lengths of its runs differ by less than gap.
	cause *taskRecord
	gap   time.Duration
}

// admits reports whether a task of which two runs differ in length by gap may count as the
// cause.
func (c *crashRecord) admits(gap time.Duration) bool { return c.cause == nil || gap < c.gap }
