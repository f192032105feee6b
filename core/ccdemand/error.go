package ccdemand

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

const (
	// ErrorVersion is a summary in a format that this version doesn't know.
	ErrorVersion ErrorKind = "unknown version"
	// ErrorLength is a summary that is cut short or too long, or has no rows or too many.
	ErrorLength ErrorKind = "wrong length"
	// ErrorRange is a summary with a number out of its range.
	ErrorRange ErrorKind = "number out of range"
	// ErrorOrder is a summary whose rows are not in the order of their urgency.
	ErrorOrder ErrorKind = "rows out of order"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Op, e.Kind) }
