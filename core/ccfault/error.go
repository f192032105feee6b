package ccfault

// ErrorKind classifies the errors of this package.
type ErrorKind string

const (
	// KindSyntax is a plan that is not a JSON list of faults.
	KindSyntax ErrorKind = "syntax"
	// KindInvalid is a fault with a missing, unknown or out-of-range value.
	KindInvalid ErrorKind = "value"
	// KindUnknownPlan is a name that no built-in plan has.
	KindUnknownPlan ErrorKind = "name"
)

// Error is the error type that Parse and Builtin return.
type Error struct {
	Op   string
	Kind ErrorKind
	Text string
}

// Error returns the operation, the kind and the text.
func (e *Error) Error() string {
	return "fault: " + e.Op + ": " + string(e.Kind) + ": " + e.Text
}
