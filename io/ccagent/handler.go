package ccagent

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

// handler decodes messages in the connection's own goroutine and hands them to
// the control goroutine.
type handler struct {
	agent *Agent
}

// Notified takes a dispatch, or the news of a new lead.
func (h *handler) Notified(peer *ccrpc.Peer, method string, params json.RawMessage) {
	switch method {
	case ccwire.MethodDispatch:
		h.dispatched(peer, params)
	case ccwire.MethodLeader:
		h.agent.announced(params)
	}
}

func (h *handler) dispatched(peer *ccrpc.Peer, params json.RawMessage) {
	var msg ccwire.Dispatch
	if err := json.Unmarshal(params, &msg); err != nil {
		h.agent.log.Error(err, "Dispatch can't be read.", "peer", peer.RemoteAddr())
		peer.Close()
		return
	}
	h.agent.post(func(now time.Time) { h.agent.dispatch(now, h.agent.link(peer), msg) })
}

// Called takes the requests of entries and of members of the cell.
func (h *handler) Called(peer *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	a := h.agent
	switch method {
	case ccwire.MethodHello:
		serve(a, peer, params, reply, a.hello)
	case ccwire.MethodRevoke:
		serve(a, peer, params, reply, a.revoke)
	case ccwire.MethodRecover:
		serve(a, peer, params, reply, a.recover)
	case ccwire.MethodProbe:
		serve(a, peer, params, reply, a.probe)
	case ccwire.MethodJoin, ccwire.MethodHeartbeat, ccwire.MethodLeave:
		a.serveCell(peer, method, params, reply)
	default:
		a.post(func(time.Time) { a.link(peer).reply(reply, nil, errors.NotSupportedf("method %s", method)) })
	}
}

// Closed forgets the connection.
func (h *handler) Closed(peer *ccrpc.Peer) {
	h.agent.post(func(now time.Time) { h.agent.closed(now, peer) })
}

// serve decodes a request, has the control goroutine answer it, and queues the
// reply behind what the connection's writer has to write.
func serve[Request, Reply any](a *Agent, peer *ccrpc.Peer, params json.RawMessage, reply func(any, error), answer func(time.Time, *link, Request) (Reply, error)) {
	var msg Request
	decodeErr := json.Unmarshal(params, &msg)
	a.post(func(now time.Time) {
		l := a.link(peer)
		if decodeErr != nil {
			l.reply(reply, nil, errors.Annotate(decodeErr, "read the request"))
			return
		}
		result, err := answer(now, l, msg)
		l.reply(reply, result, err)
	})
}

func (a *Agent) hello(now time.Time, l *link, msg ccwire.Hello) (ccwire.HelloReply, error) {
	reply, err := a.table.Hello(now, msg)
	if err != nil {
		return reply, err
	}
	delete(a.byEntry, l.entry)
	l.entry, l.session = msg.Entry, msg.Session
	a.byEntry[msg.Entry] = l
	a.log.V(1).Info("Entry has connected.", "entry", msg.Entry, "session", msg.Session)
	return reply, nil
}

func (a *Agent) revoke(now time.Time, l *link, msg ccwire.Revoke) (ccwire.RevokeReply, error) {
	a.stats.revokes.Add(1)
	reply, err := a.table.Revoke(now, msg)
	if err != nil {
		return reply, err
	}
	for _, part := range reply.Jobs {
		a.ring.Record(now, ccevent.Event{
			Kind: ccevent.KindRevoked, Job: part.ID, Index: ccevent.NoIndex, Count: len(part.Tasks), Claim: part.Claim,
			Domain: a.cfg.Domain, Peer: l.entry.ID, Cause: ccevent.Cause{Node: l.entry.ID, Incarnation: l.entry.Incarnation, Seq: msg.Cause},
		})
	}
	reply.Cause = a.ring.Newest()
	return reply, nil
}

func (a *Agent) recover(now time.Time, l *link, msg ccwire.Recover) (ccwire.RecoverReply, error) {
	a.stats.recovers.Add(1)
	reply, err := a.table.Recover(now, l.entry, msg)
	if err != nil {
		return reply, err
	}
	for _, part := range msg.Jobs {
		a.ring.Record(now, ccevent.Event{
			Kind: ccevent.KindFenced, Job: part.ID, Index: ccevent.NoIndex, Claim: part.Claim,
			Domain: a.cfg.Domain, Peer: l.entry.ID, Cause: ccevent.Cause{Node: l.entry.ID, Incarnation: l.entry.Incarnation, Seq: msg.Cause},
		})
	}
	reply.Cause = a.ring.Newest()
	return reply, nil
}

func (a *Agent) probe(now time.Time, l *link, _ ccwire.Probe) (ccwire.Report, error) {
	return a.table.Probe(now, l.entry)
}

func (a *Agent) closed(now time.Time, peer *ccrpc.Peer) {
	l, ok := a.links[peer]
	if !ok {
		return
	}
	l.cancel()
	delete(a.links, peer)
	if a.byEntry[l.entry] == l {
		delete(a.byEntry, l.entry)
		a.table.SessionClosed(now, l.entry, l.session)
	}
}
