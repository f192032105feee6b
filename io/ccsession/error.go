package ccsession

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindUnreachable is a connection that could not be made.
	KindUnreachable Kind = "unreachable"
	// KindUnreadable is a message that can't be read.
	KindUnreadable Kind = "unreadable"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("session: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
