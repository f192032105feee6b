package ccclient

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRefused is a connection that could not be established. Nothing was
	// submitted.
	KindRefused Kind = "refused"
	// KindUnknown is a call that got no response. The job may run.
	KindUnknown Kind = "unknown"
	// KindInvalid is a request that can't be built or a response that can't be
	// decoded.
	KindInvalid Kind = "answer"
)

// Error is an operation's failure, with its kind and cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
