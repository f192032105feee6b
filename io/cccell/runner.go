// Package cccell executes the actions of a cell's state machine: it calls the store
// and the cell's leader, and serves the requests of the cell's members.
//
// A Runner belongs to the control goroutine of its agent. Blocking calls run in
// their own goroutines and post their results back. At most one store call, one
// request to the leader and one round of announcements are in flight at a time.
//
// # Usage
//
//	runner := cccell.NewRunner(cccell.Config{Cell: 3, Self: member, Store: store, Post: post, Go: goRun})
//	runner.Step(now) // After each event and tick, in the control goroutine.
package cccell

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
	"camphorcroft/io/ccstore"
)

const (
	// storeTimeout bounds one store call. It is well below the TTL of the lease.
	storeTimeout = time.Second
	// leaderTimeout bounds one request to a leader, or one announcement to a member,
	// including the dial.
	leaderTimeout = time.Second
	// requestBytes and replyBytes approximate what jsonrpc2 adds to the parameters
	// and to the result.
	requestBytes = 64
	replyBytes   = 40
	// maxConcurrentAnnouncements bounds the connections that are open at once to
	// announce a new leader.
	maxConcurrentAnnouncements = 8
)

// Store is the subset of the store's operations that a cell needs.
type Store interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (ccstore.LeaseID, error)
	Renew(ctx context.Context, lease ccstore.LeaseID) error
	Revoke(ctx context.Context, lease ccstore.LeaseID) error
}

// Config identifies the cell and the agent of a Runner and holds its dependencies.
type Config struct {
	Cell int
	Self ccwire.Member
	View *ccsettings.AgentView // The view that the agent already has. May be nil.
	// Leader is the leader of the cell when the agent enrolled. If it is nil, the
	// runner reads the leader from the store.
	Leader *cccell.LeaderRecord
	Store  Store
	Log    logr.Logger
	Ring   *ccevent.Ring
	// Context cancels all calls.
	Context context.Context
	// Post runs work in the control goroutine.
	Post func(work func(now time.Time))
	// Go calls run in a new goroutine that the agent waits for.
	Go func(run func())
	// OnView is called with each settings view that the leader sends.
	OnView func(now time.Time, view *ccsettings.AgentView)
	// Counters of message bytes received and sent, and of store calls.
	BytesIn, BytesOut, StoreCalls *expvar.Int
}

// Runner executes the actions of one agent's cell machine. Only the control
// goroutine may use it.
type Runner struct {
	cfg     Config
	machine *cccell.Machine
	conn    leaderConn
	leading bool
	closed  bool
}

// leaderConn is the open connection to the leader, if any.
type leaderConn struct {
	peer   *ccrpc.Peer
	action cccell.Action // The last action sent on it, which holds the leader's address.
}

// NewRunner returns a Runner that contacts or looks up its cell's leader at the
// next Step.
func NewRunner(cfg Config, now time.Time) *Runner {
	cfg.Log = cfg.Log.WithName("cell").WithValues("cell", cfg.Cell)
	seed := rand.Uint64()
	r := &Runner{cfg: cfg, machine: cccell.New(cccell.Config{
		Cell: cfg.Cell, Self: cfg.Self, Rand: rand.New(rand.NewPCG(seed, uint64(cfg.Self.Node.Incarnation))),
		Retention: ccsettings.DefaultFleet().Retention.Std(),
	}, now)}
	r.machine.SetView(cfg.View)
	if cfg.Leader != nil && cfg.Leader.Node.ID != cfg.Self.Node.ID {
		r.machine.SetLeader(now, *cfg.Leader)
	}
	return r
}

// Machine returns the state machine whose actions the runner executes.
func (r *Runner) Machine() *cccell.Machine { return r.machine }

// Step starts the actions that are due.
func (r *Runner) Step(now time.Time) {
	for _, action := range r.machine.Next(now) {
		switch action.Op {
		case cccell.OpJoin, cccell.OpHeartbeat, cccell.OpLeave:
			r.sendToLeader(action)
		case cccell.OpAnnounce:
			r.cfg.Go(func() { r.announce(action) })
		default:
			r.cfg.Go(func() { r.callStore(action, now) })
		}
	}
	r.recordLeadership(now)
}

// recordLeadership records and logs when this agent wins or loses the leadership.
func (r *Runner) recordLeadership(now time.Time) {
	if r.leading == r.machine.Leading() {
		return
	}
	r.leading = r.machine.Leading()
	kind, text := ccevent.KindLeaseLost, "Another agent leads the cell."
	if r.leading {
		kind, text = ccevent.KindLeaseTaken, "Agent leads the cell."
		r.closeConn()
	}
	r.cfg.Ring.Record(now, ccevent.Event{Kind: kind, Index: ccevent.NoIndex, Domain: r.cfg.Self.Domain, Text: cccell.LeaderKey(r.cfg.Cell)})
	r.cfg.Log.Info(text, "term", r.machine.Term())
}

// Close closes the connection to the leader. The runner must not be used afterwards.
func (r *Runner) Close() {
	r.closed = true
	r.closeConn()
}

func (r *Runner) closeConn() {
	if r.conn.peer != nil {
		r.conn.peer.Close()
		r.conn = leaderConn{}
	}
}

// Sender identifies the member that has joined on a connection, and its cell.
type Sender struct {
	Cell int
	Node ccnode.Ref
}

// Handle serves a member's request: a join, a heartbeat or a leave. A heartbeat
// that omits its node gets the cell and the node of from.
func (r *Runner) Handle(now time.Time, from Sender, method string, params json.RawMessage) (any, error) {
	r.cfg.BytesIn.Add(int64(len(params) + requestBytes))
	switch method {
	case ccwire.MethodJoin:
		return serveRequest(r, params, func(msg ccwire.Join) any { return r.machine.HandleJoin(now, msg) })
	case ccwire.MethodHeartbeat:
		return serveRequest(r, params, func(msg ccwire.Heartbeat) any {
			if msg.Node == (ccnode.Ref{}) {
				msg.Cell, msg.Node = from.Cell, from.Node
			}
			return r.machine.HandleHeartbeat(now, msg)
		})
	default:
		return serveRequest(r, params, func(msg ccwire.Leave) any { return r.machine.HandleLeave(now, msg) })
	}
}

// HandleAnnouncement handles the notification of a new leader. It ignores one that
// can't be decoded.
func (r *Runner) HandleAnnouncement(now time.Time, params json.RawMessage) {
	r.cfg.BytesIn.Add(int64(len(params) + requestBytes))
	var msg ccwire.LeaderAnnouncement
	if err := json.Unmarshal(params, &msg); err == nil {
		r.machine.HandleAnnouncement(now, msg)
	}
}

// serveRequest decodes a request, serves it and encodes the reply. It encodes the
// reply itself so that it can count the bytes.
func serveRequest[Request any](r *Runner, params json.RawMessage, serve func(Request) any) (any, error) {
	var msg Request
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, err
	}
	data, err := json.Marshal(serve(msg))
	if err != nil {
		return nil, err
	}
	r.cfg.BytesOut.Add(int64(len(data) + replyBytes))
	return json.RawMessage(data), nil
}
