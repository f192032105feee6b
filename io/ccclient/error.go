package ccclient

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindRefused is a connection that could not be made. Nothing was submitted.
	KindRefused Kind = "refused"
	// KindUnknown is a call without an answer. The job may run.
	KindUnknown Kind = "unknown"
	// KindInvalid is an answer that can't be read.
	KindInvalid Kind = "answer"
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
	return fmt.Sprintf("client: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
