package ccentry

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindListen is an address that can't be listened on.
	KindListen Kind = "listen"
	// KindUnfinished is a stop that ended before all jobs did.
	KindUnfinished Kind = "unfinished"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
