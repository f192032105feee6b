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

// sendToLeader sends the action's request to the leader. It reuses the open
// connection if that is to the same address, and dials a new one otherwise.
func (r *Runner) sendToLeader(action cccell.Action) {
	if r.conn.peer != nil && r.conn.action.Addr != action.Addr {
		r.closeConn()
	}
	peer := r.conn.peer
	r.cfg.Go(func() {
		ctx, cancel := context.WithTimeout(r.cfg.Context, leaderTimeout)
		defer cancel()
		var err error
		if peer == nil {
			peer, err = ccrpc.Dial(ctx, action.Addr, &leaderHandler{runner: r})
		}
		var data json.RawMessage
		if err == nil {
			data, err = r.request(ctx, peer, action)
		}
		r.cfg.Post(func(now time.Time) {
			r.retainConn(peer, action, err)
			r.handleReply(now, action, data, err)
		})
	})
}

// request sends the action's message and returns the undecoded result.
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

// retainConn keeps the connection for later requests, unless the request failed,
// the runner is closed, or this agent leads the cell itself.
func (r *Runner) retainConn(peer *ccrpc.Peer, action cccell.Action, err error) {
	if peer != nil && (err != nil || r.closed || r.machine.Leading()) {
		peer.Close()
		peer = nil
	}
	r.conn = leaderConn{peer: peer, action: action}
}

func (r *Runner) handleReply(now time.Time, action cccell.Action, data json.RawMessage, err error) {
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

// leaderHandler handles this agent's end of the connection to the leader, which
// sends only replies on it.
type leaderHandler struct {
	runner *Runner
}

// Notified ignores notifications.
func (h *leaderHandler) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called rejects every request.
func (h *leaderHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	go reply(nil, &Error{Op: method, Kind: KindMethod})
}

// Closed reports the disconnect to the machine if the connection is the current one.
func (h *leaderHandler) Closed(peer *ccrpc.Peer) {
	r := h.runner
	r.cfg.Post(func(now time.Time) {
		if r.conn.peer == peer {
			r.conn = leaderConn{}
			r.machine.HandleDisconnect(now)
		}
	})
}

// announce notifies the members of the new leader. A member that can't be reached
// reads the leader from the store.
func (r *Runner) announce(action cccell.Action) {
	var group sync.WaitGroup
	defer group.Wait()
	semaphore := make(chan struct{}, maxConcurrentAnnouncements)
	for _, addr := range action.Addrs {
		select {
		case semaphore <- struct{}{}:
		case <-r.cfg.Context.Done():
			return
		}
		group.Go(func() {
			r.announceTo(addr, action.Announcement)
			<-semaphore
		})
	}
}

func (r *Runner) announceTo(addr netip.AddrPort, msg ccwire.LeaderAnnouncement) {
	ctx, cancel := context.WithTimeout(r.cfg.Context, leaderTimeout)
	defer cancel()
	peer, err := ccrpc.Dial(ctx, addr, &leaderHandler{runner: r})
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
