package ccfault

// ErrorKind sorts the errors of this package.
type ErrorKind string

const (
	// KindSyntax is a plan that is not JSON of the right shape.
	KindSyntax ErrorKind = "syntax"
	// KindInvalid is a fault with a value out of its range.
	KindInvalid ErrorKind = "value"
	// KindUnknownPlan is a plan that is not built in.
	KindUnknownPlan ErrorKind = "name"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error returns the operation, the kind and the text.
func (e *Error) Error() string {
	return "fault: " + e.Op + ": " + string(e.Kind) + ": " + e.Text
}
