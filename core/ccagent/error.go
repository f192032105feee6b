package ccagent

import "fmt"

// Kind sorts the errors of this package.
type Kind string

const (
	// KindStaleSession is a session that is not the newest of its entry.
	KindStaleSession Kind = "staleSession"
	// KindFull is a table with no room for what was asked. Nothing was promised.
	KindFull Kind = "full"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("agent: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("agent: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
