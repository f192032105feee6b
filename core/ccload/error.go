package ccload

// Kind sorts the errors of this package.
type Kind string

const (
	// KindUnknownProfile is a profile that is not built in.
	KindUnknownProfile Kind = "unknownProfile"
	// KindConfig is a plan that can't be made from its configuration.
	KindConfig Kind = "config"
	// KindTrace is a trace that can't be read or written.
	KindTrace Kind = "trace"
)

// Error is the error of this package.
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
