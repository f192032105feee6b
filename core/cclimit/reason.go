package cclimit

// Reason is why a connection was closed or a message refused.
type Reason uint8

const (
	// ReasonConnections is a bound on connections that is reached.
	ReasonConnections Reason = iota
	// ReasonMemory is a share of the byte budget that is used up.
	ReasonMemory
	// ReasonHeaderBytes is a header over the limit.
	ReasonHeaderBytes
	// ReasonHeaderTime is a header that takes too long.
	ReasonHeaderTime
	// ReasonIdle is a connection without requests.
	ReasonIdle
	// ReasonProgress is a body, a message or an answer that makes no progress.
	ReasonProgress
	// ReasonUnidentified is a peer that doesn't identify itself.
	ReasonUnidentified
	// ReasonFrame is a message over the limit of its sender.
	ReasonFrame
	// ReasonMalformed is a request whose end can't be told.
	ReasonMalformed
	reasons
)

var reasonNames = [...]string{
	"connections", "memory", "headerBytes", "headerTime", "idle", "progress", "unidentified", "frameBytes", "malformed",
}

// String returns the name that metrics and log lines use.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
