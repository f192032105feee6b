package ccadmission

import "time"

// Reason is the reason of all refusals.
const Reason = "too many jobs are waiting"

// Verdict says whether a job is refused. RetryAfter is set if it is.
type Verdict struct {
	Refuse bool
	// RetryAfter is when the tasks that wait before the job, and those that have been refused
	// lately, will have been placed. It differs by job, so that callers don't return together.
	RetryAfter time.Duration
}
