package ccsettings

import (
	"errors"
	"fmt"
)

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

// Error is the error of this package. Issues lists the faults when single keys
// are at fault; Err then has them as text.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Issues Issues
}

// newIssuesError returns the error of a check that found faults.
func newIssuesError(op string, issues Issues) *Error {
	issues.sort()
	return &Error{Op: op, Kind: KindInvalid, Err: errors.New(issues.Text()), Issues: issues}
}

// IssuesOf returns the faults that an error of this package lists, if any.
func IssuesOf(err error) Issues {
	var e *Error
	if errors.As(err, &e) {
		return e.Issues
	}
	return nil
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
