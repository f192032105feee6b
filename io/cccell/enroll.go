package cccell

import (
	"context"
	"encoding/json"
	"expvar"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccrpc"
	"camphorcroft/io/ccstore"
)

// enrollTries is how many leads a new agent asks before it gives up.
const enrollTries = 3

// leadsPrefix is the prefix of all leads' keys.
const leadsPrefix = "leads/"

// Enrollment is what a new agent starts with.
type Enrollment struct {
	View *ccsettings.AgentView
	// Leaders are the leads that the store named, by cell. They may have ended since.
	Leaders map[int]cccell.LeaderRecord
}

// Enroll gives a new agent the settings view of a lead, of any cell, so that it
// learns how many cells there are, and who leads its own. That costs one call to
// the store, so that a failure domain that restarts costs one for each agent. The
// error is an *Error of KindNoLead when there is no lead to ask.
func Enroll(ctx context.Context, store Store, self ccnode.Ref, storeCalls *expvar.Int) (Enrollment, error) {
	storeCalls.Add(1)
	items, _, err := store.List(ctx, leadsPrefix)
	if err != nil {
		return Enrollment{}, err
	}
	leads := readLeads(items)
	cells := slices.Collect(maps.Keys(leads))
	rand.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	for _, cell := range cells[:min(len(cells), enrollTries)] {
		if lead := leads[cell]; lead.Node.ID != self.ID {
			if view := askView(ctx, lead.Addr, self); view != nil {
				return Enrollment{View: view, Leaders: leads}, nil
			}
		}
	}
	return Enrollment{}, &Error{Op: "enroll", Kind: KindNoLeader}
}

// readLeads leaves out what can't be read.
func readLeads(items []ccstore.Item) map[int]cccell.LeaderRecord {
	leads := make(map[int]cccell.LeaderRecord, len(items))
	for _, item := range items {
		var lead cccell.LeaderRecord
		cell, err := strconv.Atoi(strings.TrimPrefix(item.Key, leadsPrefix))
		if err == nil && json.Unmarshal(item.Value, &lead) == nil {
			leads[cell] = lead
		}
	}
	return leads
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
