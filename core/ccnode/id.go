// Package ccnode names the processes of the fleet.
//
// A node keeps its ID over restarts, since the ID comes from its settings
// file. It draws a new incarnation each time it starts, so that a message meant
// for an earlier life of the same address is told apart from one meant for this
// one.
//
// # Usage
//
//	self := ccnode.Ref{ID: "entry-1", Incarnation: ccnode.NewIncarnation(now)}
//	if msg.To != self {
//		// The message was meant for an earlier life of this node.
//	}
package ccnode

import (
	"fmt"
	"time"
)

// ID is the name of a node, unique in the fleet.
type ID string

// Incarnation numbers the lives of one node. Later lives have greater numbers.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now.
// Microseconds tell apart any two starts of the same process, and stay below
// the 53 bits that a JSON number carries exactly.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixMicro())
}

// Ref names one life of one node.
type Ref struct {
	ID          ID          `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the reference as id#incarnation.
func (r Ref) String() string {
	return fmt.Sprintf("%s#%d", r.ID, r.Incarnation)
}
