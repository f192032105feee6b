package ccreplay

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindAddress means that the entry cannot listen at its address.
	KindAddress Kind = "address"
	// KindMessage means that a value cannot be encoded or decoded.
	KindMessage Kind = "message"
	// KindStore means that a call to the store failed.
	KindStore Kind = "store"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
