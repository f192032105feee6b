package ccentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

const (
	// linkQueue bounds the messages that wait for one agent's connection. A
	// connection that is further behind is closed.
	linkQueue      = 1024
	helloTimeout   = time.Second
	requestTimeout = 2 * time.Second
	backoffFirst   = 20 * time.Millisecond
	backoffMax     = time.Second
)

// link keeps one connection to one agent up. The control goroutine puts
// messages into the queue; the link's goroutine sends them in order.
type link struct {
	entry  *Entry
	node   ccnode.Ref
	addr   netip.AddrPort
	queue  chan outgoing
	cancel context.CancelFunc
	asked  time.Time // When an agent outside the subset was last asked something.
}

// outgoing is one message for an agent. With a reply set it is a request.
type outgoing struct {
	session uint64
	method  string
	params  any
	reply   func(peer *ccrpc.Peer, ctx context.Context)
}

// connect starts a link to an agent, or follows the agent to a new address.
func (e *Entry) connect(now time.Time, member *ccwire.Member) *link {
	if l, ok := e.links[member.Node.ID]; ok {
		if l.addr == member.Addr {
			l.node = member.Node
			return l
		}
		e.disconnect(now, member.Node.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{entry: e, node: member.Node, addr: member.Addr, queue: make(chan outgoing, linkQueue), cancel: cancel}
	e.links[member.Node.ID] = l
	e.goBackground(func() { l.run(ctx) })
	return l
}

// disconnect ends a link. The dispatcher is told here, since the link's own word
// could come after that of the link which takes its place.
func (e *Entry) disconnect(now time.Time, id ccnode.ID) {
	if l, ok := e.links[id]; ok {
		l.cancel()
		delete(e.links, id)
		e.dispatcher.AgentDown(now, id)
	}
}

func (e *Entry) closeLinks() {
	for id := range e.links {
		e.disconnect(time.Now(), id)
	}
}

// run connects again and again until the link is canceled. Sessions are numbered
// by the clock, so that they grow over reconnects.
func (l *link) run(ctx context.Context) {
	backoff := backoffFirst
	for ctx.Err() == nil {
		if l.session(ctx) {
			backoff = backoffFirst
		}
		pause := backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
		backoff = min(2*backoff, backoffMax)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// session runs one connection to its end, and reports whether it came up.
func (l *link) session(ctx context.Context) bool {
	closed := make(chan struct{})
	peer, err := ccrpc.Dial(ctx, l.addr, &linkHandler{entry: l.entry, closed: closed})
	if err != nil {
		return false
	}
	defer peer.Close()
	hello := ccwire.Hello{Entry: l.entry.self, Session: uint64(time.Now().UnixMicro())}
	var reply ccwire.HelloReply
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	err = peer.Call(helloCtx, ccwire.MethodHello, hello, &reply)
	cancel()
	if err != nil {
		return false
	}
	l.entry.do(func(now time.Time) {
		if l.entry.links[reply.Agent.ID] == l {
			l.entry.dispatcher.AgentUp(now, hello.Session, reply)
		}
	})
	l.pump(ctx, peer, hello.Session, closed)
	l.entry.do(func(now time.Time) {
		if l.entry.links[reply.Agent.ID] == l {
			l.entry.dispatcher.AgentDown(now, reply.Agent.ID)
		}
	})
	return true
}

// pump sends what the control goroutine puts into the queue.
func (l *link) pump(ctx context.Context, peer *ccrpc.Peer, session uint64, closed <-chan struct{}) {
	for {
		select {
		case message := <-l.queue:
			if message.session != 0 && message.session != session {
				continue // Meant for an earlier session; its tasks were asked about.
			}
			if message.reply != nil {
				go message.reply(peer, ctx)
			} else if peer.Notify(ctx, message.method, message.params) != nil {
				return
			}
		case <-closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// push hands a message to an agent's link. A full queue ends the connection, and
// the next session asks about all that was out.
func (e *Entry) push(id ccnode.ID, message outgoing) {
	l, ok := e.links[id]
	if !ok {
		return
	}
	select {
	case l.queue <- message:
	default:
		e.log.Info("Agent takes no messages; connecting again.", "agent", id)
		member := ccwire.Member{Node: l.node, Addr: l.addr}
		now := time.Now()
		e.disconnect(now, id)
		e.connect(now, &member)
	}
}

func (e *Entry) sendDispatch(action *ccdispatch.SendDispatch) {
	message := action.Message
	message.Cause = e.cfg.Ring.Newest()
	e.push(action.Agent, outgoing{session: message.Session, method: ccwire.MethodDispatch, params: &message})
}

func (e *Entry) sendRevoke(action *ccdispatch.SendRevoke) {
	message := action.Message
	message.Cause = e.cfg.Ring.Newest()
	e.push(action.Agent, outgoing{reply: func(peer *ccrpc.Peer, ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		var reply ccwire.RevokeReply
		if err := peer.Call(ctx, ccwire.MethodRevoke, &message, &reply); err != nil {
			peer.Close() // The next session asks again.
			return
		}
		e.do(func(now time.Time) { e.dispatcher.HandleRevokeReply(now, reply) })
	}})
}

func (e *Entry) sendProbe(action *ccdispatch.SendProbe) {
	e.push(action.Agent, outgoing{session: action.Message.Session, reply: func(peer *ccrpc.Peer, ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		var report ccwire.Report
		if err := peer.Call(ctx, ccwire.MethodProbe, action.Message, &report); err != nil {
			peer.Close()
			return
		}
		e.do(func(now time.Time) { e.dispatcher.HandleReport(now, report) })
	}})
}

// linkHandler takes what an agent sends.
type linkHandler struct {
	entry  *Entry
	closed chan struct{}
}

// Notified takes a report. It is read here, off the control goroutine.
func (h *linkHandler) Notified(_ *ccrpc.Peer, method string, params json.RawMessage) {
	if method != ccwire.MethodReport {
		return
	}
	var report ccwire.Report
	if err := json.Unmarshal(params, &report); err != nil {
		h.entry.log.Error(err, "Report can't be read.")
		return
	}
	h.entry.do(func(now time.Time) { h.entry.dispatcher.HandleReport(now, report) })
}

// Called refuses requests: agents ask nothing of entries.
func (h *linkHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	reply(nil, &ccrpc.Error{Op: method, Kind: ccrpc.KindRefused, Err: errUnknownMethod})
}

// Closed ends the session.
func (h *linkHandler) Closed(*ccrpc.Peer) { close(h.closed) }
