package ccfit

// Score is how good the expected end of a task is. Lower values are better.
type Score int

const (
	// OnTime is an end within the latency objective.
	OnTime Score = iota
	// Useful is an end after the objective that the caller is expected to wait for.
	Useful
	// TooLate is any other end.
	TooLate
)
