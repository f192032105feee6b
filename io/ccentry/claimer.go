package ccentry

import (
	"time"

	"camphorcroft/core/ccsettings"
)

// claimer gets the right to drive a job. Its methods are called on the control
// goroutine and must not wait.
type claimer interface {
	// claim leads to drive, or to finish with another entry's outcome or a
	// refusal.
	claim(e *Entry, now time.Time, p *pendingJob)
	// release gives back the claim of a job that did not start.
	release(e *Entry, p *pendingJob)
	// ready reports whether jobs may be claimed now.
	ready() bool
	// check makes sure that the entry may go on; it is called before anything is
	// decided and before anything is sent.
	check(now time.Time)
	// tick lets time pass.
	tick(now time.Time)
	// carryOut sends what was decided.
	carryOut(now time.Time)
	// configure takes newer settings.
	configure(settings *ccsettings.Effective)
}
