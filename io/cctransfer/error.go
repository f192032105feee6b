package cctransfer

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNoResponse means that no response began in time.
	KindNoResponse Kind = "noResponse"
	// KindSilent means that nothing of the body arrived for too long.
	KindSilent Kind = "silent"
	// KindSlow means that the body arrived at less than the least rate.
	KindSlow Kind = "slow"
	// KindBroken means that the body ended early or could not be read.
	KindBroken Kind = "broken"
	// KindTooLarge means that the body is larger than the limit.
	KindTooLarge Kind = "tooLarge"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Received is the number of bytes of the body that arrived, and Took the time since the
	// response began.
	Received int
	Took     time.Duration
	Err      error
}

// Error returns the operation, the kind, what has arrived and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("transfer: %s: %s after %d bytes in %d ms: %v", e.Op, e.Kind, e.Received, e.Took.Milliseconds(), e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Cost returns how long the link was in use for the body of a call that failed.
func Cost(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.Received > 0 {
		return e.Took
	}
	return 0
}
