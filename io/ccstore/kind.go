package ccstore

import "errors"

// KindOf returns the Kind of the first *Error in the chain of err, or an empty
// Kind if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
