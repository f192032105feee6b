package ccfleet

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindSettings is a change of the settings that was not accepted.
	KindSettings Kind = "settings"
	// KindProcess is a process that did not start, stop or answer.
	KindProcess Kind = "process"
	// KindNumber is an entry or agent that does not exist.
	KindNumber Kind = "number"
	// KindNotReady is a fleet that did not connect in time.
	KindNotReady Kind = "notReady"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
