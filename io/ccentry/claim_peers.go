package ccentry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

// peerLink is the connection to another entry. It is made when first needed, and
// made again after it broke.
type peerLink struct {
	presence *presence
	member   ccroster.Member
	mu       sync.Mutex // Held while dialing, so that callers share one connection.
	peer     *ccrpc.Peer
}

// peer returns the link to a member.
func (p *presence) peer(member ccroster.Member) *peerLink {
	l, ok := p.peers[member.Ref]
	if !ok {
		l = &peerLink{presence: p, member: member}
		p.peers[member.Ref] = l
	}
	return l
}

// dropPeers closes the links to entries that are no longer members.
func (p *presence) dropPeers() {
	for ref, l := range p.peers {
		if !p.roster.Has(ref) {
			delete(p.peers, ref)
			go l.close()
		}
	}
}

// closePeers closes all links.
func (p *presence) closePeers() {
	for ref, l := range p.peers {
		delete(p.peers, ref)
		go l.close()
	}
}

// requestMessages is how many messages a request is, with its reply.
const requestMessages = 2

// countMessages counts what goes to peers, and apart from it what goes for the
// sake of single jobs, the replies included.
func (p *presence) countMessages(method string, messages uint64) {
	p.entry.metrics.Map("peerRequests").Add(method, 1)
	switch method {
	case ccwire.MethodClaim, ccwire.MethodAwait, ccwire.MethodRelease:
		p.jobMessages += messages
	default:
	}
}

// callPeer sends a request to another entry and hands the reply, or the error,
// to the control goroutine.
func callPeer[R any](p *presence, to ccroster.Member, method string, params any, timeout time.Duration, done func(now time.Time, reply R, err error)) {
	l := p.peer(to)
	p.countMessages(method, requestMessages)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var reply R
		err := l.call(ctx, method, params, &reply)
		p.entry.do(func(now time.Time) {
			p.unreachable(to, err)
			done(now, reply, err)
		})
	}()
}

// notifyPeer sends a notification to another entry. It may be lost.
func (p *presence) notifyPeer(to ccroster.Member, method string, params any) {
	l := p.peer(to)
	p.countMessages(method, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pulseTimeout)
		defer cancel()
		if peer, err := l.connected(ctx); err == nil {
			_ = peer.Notify(ctx, method, params)
		}
	}()
}

func (l *peerLink) call(ctx context.Context, method string, params, reply any) error {
	peer, err := l.connected(ctx)
	if err != nil {
		return err
	}
	return peer.Call(ctx, method, params, reply)
}

func (l *peerLink) connected(ctx context.Context) (*ccrpc.Peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer != nil {
		return l.peer, nil
	}
	peer, err := ccrpc.Dial(ctx, l.member.Addr, l)
	if err != nil {
		return nil, err
	}
	l.peer = peer
	return peer, nil
}

func (l *peerLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer != nil {
		l.peer.Close()
	}
}

// Notified ignores notifications: who is called sends none.
func (l *peerLink) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called refuses requests, which come over connections of the other's making.
func (l *peerLink) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	reply(nil, &ccrpc.Error{Op: method, Kind: ccrpc.KindRefused, Err: errUnknownMethod})
}

// Closed lets the next caller connect again.
func (l *peerLink) Closed(peer *ccrpc.Peer) {
	l.mu.Lock()
	if l.peer == peer {
		l.peer = nil
	}
	l.mu.Unlock()
	l.presence.entry.do(func(now time.Time) { l.presence.broken(now, l.member.Ref) })
}
