package cccell

import "fmt"

// Kind classifies an Error.
type Kind string

const (
	// KindMethod means that the receiver doesn't serve the requested method.
	KindMethod Kind = "method"
	// KindValue means that a store value can't be decoded or encoded.
	KindValue Kind = "value"
	// KindNoLeader means that no leader in the fleet could be reached.
	KindNoLeader Kind = "noLead"
)

// Error is an error of this package, with the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause, if any.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("cell: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("cell: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
