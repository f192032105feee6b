package ccsession

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnreachable means that the connection could not be established.
	KindUnreachable Kind = "unreachable"
	// KindUnreadable means that a message could not be encoded or decoded.
	KindUnreadable Kind = "unreadable"
)

// Error describes a failed operation on a session connection.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string { return fmt.Sprintf("session: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
