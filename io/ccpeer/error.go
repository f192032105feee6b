package ccpeer

import (
	"errors"
	"fmt"
	"time"
)

// Op is the step of a call that failed.
type Op string

const (
	// OpConnect is waiting for a connection or opening one.
	OpConnect Op = "connect"
	// OpIdentify is asking which incarnation a connection leads to.
	OpIdentify Op = "identify"
	// OpExchange is sending the request and receiving the response.
	OpExchange Op = "exchange"
)

// Error is why a call has no response.
type Error struct {
	Op Op
	// Found is the incarnation that answered in place of the one that the call names. Zero is
	// none.
	Found time.Time
	Err   error
}

// errOtherIncarnation is the error of a call for an incarnation whose place another one has.
var errOtherIncarnation = errors.New("another incarnation answered")

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether an error of Do means that nothing of the request was sent.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Op != OpExchange
}

// Found returns the incarnation that answered in place of the one that the call names, or
// zero.
func Found(err error) time.Time {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Found
	}
	return time.Time{}
}
