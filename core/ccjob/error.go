package ccjob

// Error reports why a job ID or a job is not valid. Kind is the one that the client
// gets.
type Error struct {
	Op   string
	Kind Kind
	Text string
}

func newError(op string, kind Kind, text string) *Error {
	return &Error{Op: op, Kind: kind, Text: text}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return "job: " + e.Op + ": " + string(e.Kind) + ": " + e.Text
}
