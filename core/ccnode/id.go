// Package ccnode identifies the processes of the fleet.
//
// A node keeps its ID over restarts, since the ID comes from its settings
// file. It draws a new incarnation each time it starts, so that a message meant
// for a process that ran earlier at the same address can be told apart from one
// meant for the current process.
//
// # Usage
//
//	self := ccnode.Ref{ID: "entry-1", Incarnation: ccnode.NewIncarnation(now)}
//	if msg.To != self {
//		// The message was meant for an earlier incarnation of this node.
//	}
package ccnode

import (
	"fmt"
	"time"
)

// ID is the name of a node, unique in the fleet.
type ID string

// Incarnation numbers the starts of one node. Later starts have greater numbers.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now.
// Microseconds distinguish any two starts of the same process and stay below
// the 53 bits that a JSON number represents exactly.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixMicro())
}

// Ref identifies one incarnation of one node.
type Ref struct {
	ID          ID          `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the reference as id#incarnation.
func (r Ref) String() string {
	return fmt.Sprintf("%s#%d", r.ID, r.Incarnation)
}
