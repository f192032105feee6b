package ccstore

import "errors"

// KindOf returns the kind of an error of this package, or an empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
