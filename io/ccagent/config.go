// Package ccagent is the process beside a target: it takes tasks from entries,
// runs them at the target, and reports what became of them.
//
// One goroutine, the control goroutine, owns the table that decides what starts
// and all else that changes. Other goroutines carry traffic: one reads and one
// writes for each connection, and one runs each started task.
//
// # Bounds
//
// The mailbox of the control goroutine has a fixed size; who finds it full
// waits, which in turn slows the connection that it reads from. A connection
// whose writer is behind by more than a fixed number of replies is closed.
//
// # Usage
//
//	agent := ccagent.New(ccagent.Config{Node: self, Service: "proof", Target: target, Store: store, Log: log})
//	err := agent.Start(ctx)
//	defer agent.Stop(ctx)
package ccagent

import (
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccagent"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/ccstore"
)

const (
	// mailboxSize bounds the work that waits for the control goroutine.
	mailboxSize = 1024
	// linkQueue bounds the replies that wait for the writer of one connection.
	linkQueue = 256
	// tickInterval is how often the table looks at the clock.
	tickInterval = 25 * time.Millisecond
	// drainLimit is how long a graceful stop waits for running tasks.
	drainLimit = 10 * time.Second
	// quietTime is how long no dispatch may have come before an agent that leaves
	// closes its connections.
	quietTime = 300 * time.Millisecond
	// ringSize is how many events are kept when no ring is given.
	ringSize = 4096
	// dialTimeout bounds a connection attempt to the target.
	dialTimeout = 500 * time.Millisecond
	// runGrace is how long after the job's deadline a target may still answer
	// before its slot is given up.
	runGrace = 5 * time.Second
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 256 << 10
	// idleConnections bounds the connections to the target that are kept while no
	// task uses them. Those in use are bounded by the slots.
	idleConnections = 64
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// Config says who the agent is, where it listens and what it serves.
type Config struct {
	// Node names this life. A zero incarnation is drawn by New.
	Node    ccnode.Ref
	Domain  string
	Rack    string
	Service string
	Slots   int            // Lowers the service's slots. Zero leaves them.
	Listen  netip.AddrPort // For entries and members of the cell. Port 0 takes any.
	HTTP    netip.AddrPort // For health, metrics and events. Port 0 takes any.
	Target  netip.AddrPort
	Store   ccstore.Store
	Log     logr.Logger
	Ring    *ccevent.Ring // Nil makes one.
	// OnSettings is told of each settings version that comes into force here. It
	// must not wait. May be nil.
	OnSettings func(view *ccsettings.AgentView)
	// Guards switches off single checks, for tests alone.
	Guards ccagent.Guards
	// Gate limits the clients. Nil sets no limits.
	Gate *cclimit.Gate
}
