package ccagent

import "fmt"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindStaleSession means that the session is not the newest of its entry.
	KindStaleSession Kind = "staleSession"
	// KindFull means that there is no room for the request. Nothing is guaranteed.
	KindFull Kind = "full"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("agent: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("agent: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }
