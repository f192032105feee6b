package ccevent

import "fmt"

// Kind sorts the errors of this package.
type Kind string

// KindSilent is a process that gave no answer, or none that can be read.
const KindSilent Kind = "silent"

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("event: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
