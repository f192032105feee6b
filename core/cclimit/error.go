package cclimit

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindValue is a limit that can't be kept.
	KindValue Kind = "value"
	// KindRefused is a client whose message was refused. Nothing of it has been acted on.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("limit: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
