package cccell

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindMethod is a request that the receiver doesn't serve.
	KindMethod Kind = "method"
	// KindValue is a value of the store that can't be read or written.
	KindValue Kind = "value"
	// KindNoLeader is a fleet in which no lead could be reached.
	KindNoLeader Kind = "noLead"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("cell: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("cell: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
