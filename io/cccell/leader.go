package cccell

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

// ask sends a request to the lead over the connection that is there, or a new
// one.
func (r *Runner) ask(action cccell.Action) {
	if r.link.peer != nil && r.link.lead.Addr != action.Addr {
		r.dropLink()
	}
	peer := r.link.peer
	r.cfg.Go(func() {
		ctx, cancel := context.WithTimeout(r.cfg.Context, leadTimeout)
		defer cancel()
		var err error
		if peer == nil {
			peer, err = ccrpc.Dial(ctx, action.Addr, &leadHandler{runner: r})
		}
		var data json.RawMessage
		if err == nil {
			data, err = r.request(ctx, peer, action)
		}
		r.cfg.Post(func(now time.Time) {
			r.keep(peer, action, err)
			r.answered(now, action, data, err)
		})
	})
}

// request sends what the action says and returns the undecoded result.
func (r *Runner) request(ctx context.Context, peer *ccrpc.Peer, action cccell.Action) (json.RawMessage, error) {
	method, params := ccwire.MethodHeartbeat, any(action.Heartbeat)
	switch action.Op {
	case cccell.OpJoin:
		method, params = ccwire.MethodJoin, action.Join
	case cccell.OpLeave:
		method, params = ccwire.MethodLeave, action.Leave
	default:
	}
	data, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	r.cfg.BytesOut.Add(int64(len(data) + requestBytes))
	var result json.RawMessage
	if err := peer.Call(ctx, method, json.RawMessage(data), &result); err != nil {
		return nil, err
	}
	r.cfg.BytesIn.Add(int64(len(result) + replyBytes))
	return result, nil
}

// keep holds on to a connection that works, as long as there is use for it.
func (r *Runner) keep(peer *ccrpc.Peer, action cccell.Action, err error) {
	if peer != nil && (err != nil || r.closed || r.machine.Leading()) {
		peer.Close()
		peer = nil
	}
	r.link = link{peer: peer, lead: action}
}

func (r *Runner) answered(now time.Time, action cccell.Action, data json.RawMessage, err error) {
	if action.Op == cccell.OpLeave {
		r.machine.HandleLeaveReply(now, err == nil)
		return
	}
	var reply ccwire.HeartbeatReply
	if err == nil {
		err = json.Unmarshal(data, &reply)
	}
	r.machine.HandleReply(now, err == nil, reply)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		r.machine.HandleDisconnect(now)
	}
	if err == nil && reply.View != nil {
		r.cfg.OnView(now, reply.View)
	}
}

// leadHandler is this agent's end of the connection to the lead, who sends
// nothing on it but replies.
type leadHandler struct {
	runner *Runner
}

// Notified takes nothing.
func (h *leadHandler) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called refuses every request.
func (h *leadHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	go reply(nil, &Error{Op: method, Kind: KindMethod})
}

// Closed tells the machine that the connection has ended.
func (h *leadHandler) Closed(peer *ccrpc.Peer) {
	r := h.runner
	r.cfg.Post(func(now time.Time) {
		if r.link.peer == peer {
			r.link = link{}
			r.machine.HandleDisconnect(now)
		}
	})
}

// announce tells the members who leads now. One that can't be reached finds the
// lead in the store.
func (r *Runner) announce(action cccell.Action) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, announceAtOnce)
	for _, addr := range action.Addrs {
		select {
		case slots <- struct{}{}:
		case <-r.cfg.Context.Done():
			return
		}
		group.Go(func() {
			r.announceTo(addr, action.Announcement)
			<-slots
		})
	}
}

func (r *Runner) announceTo(addr netip.AddrPort, msg ccwire.LeaderAnnouncement) {
	ctx, cancel := context.WithTimeout(r.cfg.Context, leadTimeout)
	defer cancel()
	peer, err := ccrpc.Dial(ctx, addr, &leadHandler{runner: r})
	if err != nil {
		return
	}
	defer peer.Close()
	data, err := json.Marshal(msg)
	if err != nil {
		return
	}
	r.cfg.BytesOut.Add(int64(len(data) + requestBytes))
	_ = peer.Notify(ctx, ccwire.MethodLeader, json.RawMessage(data))
}
