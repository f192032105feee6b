package ccsettings

import (
	"errors"
	"fmt"
)

// Kind sorts the errors of this package.
type Kind string

const (
	// KindStore is a store that can't be reached. Nothing was accepted.
	KindStore Kind = "store"
	// KindRecord is a record in the store that can't be read.
	KindRecord Kind = "record"
	// KindInvalid is a change that the settings' checks refuse.
	KindInvalid Kind = "invalid"
	// KindRaced is a change that lost to another. Nothing of it was accepted.
	KindRaced Kind = "raced"
	// KindUnknown is a change of which the store didn't tell whether it was
	// accepted.
	KindUnknown Kind = "unknown"
)

// Error is the error of this package. Race is set with KindRaced alone; Err then
// has it as text.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	Race *Race
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or an empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// RaceOf returns what an error of KindRaced tells of the change that won.
func RaceOf(err error) *Race {
	var e *Error
	if errors.As(err, &e) {
		return e.Race
	}
	return nil
}
