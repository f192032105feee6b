package ccjob

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
	return "job: " + e.Op + ": " + string(e.Kind) + ": " + e.Text
}
