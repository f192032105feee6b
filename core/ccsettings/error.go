package ccsettings

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindSyntax is text that is not YAML of the right shape.
	KindSyntax Kind = "syntax"
	// KindInvalid is a key that doesn't exist, or a value out of its limits.
	KindInvalid Kind = "invalid"
	// KindRecord is a record of the store that can't be read.
	KindRecord Kind = "record"
)

// Error is the error of this package. Err is IssueErrors when single keys are at
// fault.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
