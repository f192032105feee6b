package ccagent

import (
	"context"

	"camphorcroft/core/ccnode"
	cellio "camphorcroft/io/cccell"
	"camphorcroft/io/ccrpc"
)

// link is one connection from another process, with the goroutine that writes
// to it. The control goroutine owns its fields.
type link struct {
	peer    *ccrpc.Peer
	queue   chan func()
	cancel  context.CancelFunc
	entry   ccnode.Ref // Set by hello.
	session uint64
	member  cellio.Sender // Set by join.
	busy    bool          // A report is being written.
}

// link returns the link of a connection, made if need be.
func (a *Agent) link(peer *ccrpc.Peer) *link {
	if known, ok := a.links[peer]; ok {
		return known
	}
	ctx, cancel := context.WithCancel(a.ctx)
	l := &link{peer: peer, queue: make(chan func(), linkQueue), cancel: cancel}
	a.links[peer] = l
	a.goRun(func() { l.write(ctx) })
	return l
}

// write does the waiting writes one after the other.
func (l *link) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-l.queue:
			work()
		}
	}
}

// send queues a write. It returns false when too many wait.
func (l *link) send(work func()) bool {
	select {
	case l.queue <- work:
		return true
	default:
		return false
	}
}

// reply queues the reply to a request, and closes a connection that doesn't
// read its replies.
func (l *link) reply(reply func(any, error), result any, err error) {
	if !l.send(func() { reply(result, err) }) {
		l.peer.Close()
	}
}
