package ccload

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnknownProfile reports a profile name that is not built in.
	KindUnknownProfile Kind = "unknownProfile"
	// KindConfig reports an invalid plan configuration.
	KindConfig Kind = "config"
	// KindTrace reports a trace or a table that could not be read or written.
	KindTrace Kind = "trace"
)

// Error is the error type that this package returns.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

func newError(op string, kind Kind, text string) *Error {
	return &Error{Op: op, Kind: kind, Text: text}
}

// Error returns the operation, the kind and the text.
func (e *Error) Error() string {
	return "load: " + e.Op + ": " + string(e.Kind) + ": " + e.Text
}
