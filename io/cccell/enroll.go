package cccell

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"net/netip"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
)

// enrollTries is how many leads a new agent asks before it gives up.
const enrollTries = 3

// leadsPrefix is the prefix of all leads' keys.
const leadsPrefix = "leads/"

// Enroll gives a new agent the settings view of a lead, of any cell, so that it
// learns how many cells there are. That costs one call to the store, however
// many sections the settings have. The error is an *Error of KindNoLead when
// there is no lead to ask.
func Enroll(ctx context.Context, store Store, self ccnode.Ref, storeCalls *expvar.Int) (*ccsettings.AgentView, error) {
	storeCalls.Add(1)
	items, _, err := store.List(ctx, leadsPrefix)
	if err != nil {
		return nil, err
	}
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	for _, item := range items[:min(len(items), enrollTries)] {
		var lead cccell.LeadRecord
		if err := json.Unmarshal(item.Value, &lead); err != nil || lead.Node.ID == self.ID {
			continue
		}
		if view := askView(ctx, lead.Addr, self); view != nil {
			return view, nil
		}
	}
	return nil, &Error{Op: "enroll", Kind: KindNoLead}
}

// askView sends a heartbeat with version zero, which any lead answers with its
// view.
func askView(ctx context.Context, addr netip.AddrPort, self ccnode.Ref) *ccsettings.AgentView {
	ctx, cancel := context.WithTimeout(ctx, leadTimeout)
	defer cancel()
	peer, err := ccrpc.Dial(ctx, addr, &enrollHandler{})
	if err != nil {
		return nil
	}
	defer peer.Close()
	var reply ccwire.HeartbeatReply
	if err := peer.Call(ctx, ccwire.MethodHeartbeat, ccwire.Heartbeat{Node: self}, &reply); err != nil {
		return nil
	}
	return reply.View
}

// enrollHandler is the end of a connection on which only replies come.
type enrollHandler struct{}

// Notified takes nothing.
func (*enrollHandler) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called refuses every request.
func (*enrollHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	go reply(nil, &Error{Op: method, Kind: KindMethod})
}

// Closed does nothing.
func (*enrollHandler) Closed(*ccrpc.Peer) {}
