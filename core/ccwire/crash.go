package ccwire

// CrashReport describes a crash of the agent's worker. An agent sends it to all entries
// that it has a session with, and again when a session is opened soon after.
type CrashReport struct {
	// Number identifies the crash among those that this incarnation of the agent has seen.
	Number uint64 `cbor:"1,keyasint"`
	// Suspects are the tasks that were running.
	Suspects []CrashSuspect `cbor:"2,keyasint"`
}

// CrashSuspect is a task that was running on a worker when it crashed.
type CrashSuspect struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Class identifies the kind of job that the task belongs to.
	Class uint32 `cbor:"2,keyasint,omitempty"`
	// RanMS is how long the run had lasted, in milliseconds.
	RanMS int64 `cbor:"3,keyasint,omitempty"`
	// Crashes is the number of earlier crashes that the entry knew of when it ordered the
	// start.
	Crashes int `cbor:"4,keyasint,omitempty"`
}
