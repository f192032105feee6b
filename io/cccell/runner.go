// Package cccell carries out what the machine of a cell decides: it talks to the
// store and to the lead, and answers members.
//
// A Runner belongs to the control goroutine of its agent. Calls that wait run in
// goroutines of their own and post their answers back. At most one towards the
// store, one towards the lead and one round of announcements is under way.
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
	// storeTimeout bounds one call to the store. It is well below the lease.
	storeTimeout = time.Second
	// leadTimeout bounds one request to the lead.
	leadTimeout = time.Second
	// requestBytes and replyBytes are about what jsonrpc2 adds to the parameters
	// and to the result.
	requestBytes = 64
	replyBytes   = 40
	// announceAtOnce bounds the connections that announce a new lead.
	announceAtOnce = 8
)

// Store is the part of the store that a cell needs.
type Store interface {
	Get(ctx context.Context, key string) (ccstore.Item, error)
	List(ctx context.Context, prefix string) ([]ccstore.Item, uint64, error)
	Swap(ctx context.Context, key string, expected uint64, value []byte, lease ccstore.LeaseID) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (ccstore.LeaseID, error)
	Renew(ctx context.Context, lease ccstore.LeaseID) error
	Revoke(ctx context.Context, lease ccstore.LeaseID) error
}

// Config says which cell a runner works for and what it works with.
type Config struct {
	Cell int
	Self ccwire.Member
	View *ccsettings.AgentView // What the agent knows already. May be nil.
	// Leader is who led the cell when the agent enrolled. Nil has the runner look at
	// the store.
	Leader *cccell.LeaderRecord
	Store  Store
	Log    logr.Logger
	Ring   *ccevent.Ring
	// Context ends all calls.
	Context context.Context
	// Post has the control goroutine do something.
	Post func(work func(now time.Time))
	// Go runs a goroutine that the agent waits for.
	Go func(run func())
	// OnView takes each settings view that the lead sends.
	OnView func(now time.Time, view *ccsettings.AgentView)
	// Counters of the messages' bytes and the store's calls.
	BytesIn, BytesOut, StoreCalls *expvar.Int
}

// Runner carries out one agent's part in its cell. The control goroutine alone
// uses it.
type Runner struct {
	cfg     Config
	machine *cccell.Machine
	link    link
	leading bool
	closed  bool
}

// link is the connection to the lead.
type link struct {
	peer *ccrpc.Peer
	lead cccell.Action // The action that made it, for its address.
}

// NewRunner returns a runner that will look for its cell's lead at the next Step.
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

// Machine returns the decisions behind the runner.
func (r *Runner) Machine() *cccell.Machine { return r.machine }

// Step starts what is due.
func (r *Runner) Step(now time.Time) {
	for _, action := range r.machine.Next(now) {
		switch action.Op {
		case cccell.OpJoin, cccell.OpHeartbeat, cccell.OpLeave:
			r.ask(action)
		case cccell.OpAnnounce:
			r.cfg.Go(func() { r.announce(action) })
		default:
			r.cfg.Go(func() { r.callStore(action, now) })
		}
	}
	r.note(now)
}

// note records when the lead is won or lost.
func (r *Runner) note(now time.Time) {
	if r.leading == r.machine.Leading() {
		return
	}
	r.leading = r.machine.Leading()
	kind, text := ccevent.KindLeaseLost, "Another agent leads the cell."
	if r.leading {
		kind, text = ccevent.KindLeaseTaken, "Agent leads the cell."
		r.dropLink()
	}
	r.cfg.Ring.Record(now, ccevent.Event{Kind: kind, Index: ccevent.NoIndex, Domain: r.cfg.Self.Domain, Text: cccell.LeaderKey(r.cfg.Cell)})
	r.cfg.Log.Info(text, "term", r.machine.Term())
}

// Close ends the connection to the lead. The runner must not be used any more.
func (r *Runner) Close() {
	r.closed = true
	r.dropLink()
}

func (r *Runner) dropLink() {
	if r.link.peer != nil {
		r.link.peer.Close()
		r.link = link{}
	}
}

// Sender is who has joined on a connection.
type Sender struct {
	Cell int
	Node ccnode.Ref
}

// Handle answers a member's request: a join, a heartbeat or a leave. The sender
// stands in for what a heartbeat leaves out.
func (r *Runner) Handle(now time.Time, from Sender, method string, params json.RawMessage) (any, error) {
	r.cfg.BytesIn.Add(int64(len(params) + requestBytes))
	switch method {
	case ccwire.MethodJoin:
		return answer(r, params, func(msg ccwire.Join) any { return r.machine.HandleJoin(now, msg) })
	case ccwire.MethodHeartbeat:
		return answer(r, params, func(msg ccwire.Heartbeat) any {
			if msg.Node == (ccnode.Ref{}) {
				msg.Cell, msg.Node = from.Cell, from.Node
			}
			return r.machine.HandleHeartbeat(now, msg)
		})
	default:
		return answer(r, params, func(msg ccwire.Leave) any { return r.machine.HandleLeave(now, msg) })
	}
}

// HandleAnnouncement takes the notification of a new lead.
func (r *Runner) HandleAnnouncement(now time.Time, params json.RawMessage) {
	r.cfg.BytesIn.Add(int64(len(params) + requestBytes))
	var msg ccwire.LeaderAnnouncement
	if err := json.Unmarshal(params, &msg); err == nil {
		r.machine.HandleAnnouncement(now, msg)
	}
}

// answer decodes a request and encodes its reply, so that the bytes are counted.
func answer[Request any](r *Runner, params json.RawMessage, serve func(Request) any) (any, error) {
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
