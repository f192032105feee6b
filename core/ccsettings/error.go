package ccsettings

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSyntax is a text that is not a single valid YAML document.
	KindSyntax Kind = "syntax"
	// KindInvalid is an unknown key, an invalid value, or settings that exceed a
	// limit.
	KindInvalid Kind = "invalid"
	// KindRecord is a record in the store that can't be decoded.
	KindRecord Kind = "record"
)

// Error is the error type of this package. If single keys are invalid, Issues lists
// them and Err has the same list as text.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Issues Issues
}

// newIssuesError returns an error that lists the issues in sorted order.
func newIssuesError(op string, issues Issues) *Error {
	issues.sort()
	return &Error{Op: op, Kind: KindInvalid, Err: errors.New(issues.Text()), Issues: issues}
}

// IssuesOf returns the issues listed by an error of this package, if any.
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
