package ccrelay

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreadable means that a plan can't be encoded or decoded.
	KindUnreadable Kind = "unreadable"
	// KindTooLarge means that a plan is larger than a process keeps.
	KindTooLarge Kind = "tooLarge"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
