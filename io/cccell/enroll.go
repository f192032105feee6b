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

// maxEnrollAttempts is how many leaders a new agent asks before Enroll fails.
const maxEnrollAttempts = 3

// leadersPrefix is the common prefix of the store keys that name the leaders.
const leadersPrefix = "leads/"

// Enrollment is the initial state of a new agent.
type Enrollment struct {
	View *ccsettings.AgentView
	// Leaders are the leaders that the store listed, by cell. They may have lost the
	// leadership since.
	Leaders map[int]cccell.LeaderRecord
}

// Enroll fetches the settings view from the leader of any cell, from which a new
// agent learns how many cells there are, and returns it with the leaders in the
// store, among them that of the agent's own cell. It makes one store call, so a
// restart of a failure domain costs one store call per agent. The error is an
// *Error of KindNoLeader when no leader returns a view.
func Enroll(ctx context.Context, store Store, self ccnode.Ref, storeCalls *expvar.Int) (Enrollment, error) {
	storeCalls.Add(1)
	items, _, err := store.List(ctx, leadersPrefix)
	if err != nil {
		return Enrollment{}, err
	}
	leaders := decodeLeaders(items)
	cells := slices.Collect(maps.Keys(leaders))
	rand.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	for _, cell := range cells[:min(len(cells), maxEnrollAttempts)] {
		if leader := leaders[cell]; leader.Node.ID != self.ID {
			if view := fetchView(ctx, leader.Addr, self); view != nil {
				return Enrollment{View: view, Leaders: leaders}, nil
			}
		}
	}
	return Enrollment{}, &Error{Op: "enroll", Kind: KindNoLeader}
}

// decodeLeaders decodes the leaders' records by cell. It skips items whose key or
// value is malformed: an agent asks only a few of the leaders.
func decodeLeaders(items []ccstore.Item) map[int]cccell.LeaderRecord {
	leaders := make(map[int]cccell.LeaderRecord, len(items))
	for _, item := range items {
		var leader cccell.LeaderRecord
		cell, err := strconv.Atoi(strings.TrimPrefix(item.Key, leadersPrefix))
		if err != nil || cell < 0 || item.Key != cccell.LeaderKey(cell) || json.Unmarshal(item.Value, &leader) != nil {
			continue
		}
		if leader.Node.ID != "" && leader.Addr.IsValid() && leader.Addr.Port() != 0 {
			leaders[cell] = leader
		}
	}
	return leaders
}

// fetchView sends a heartbeat with settings version zero, which any leader answers
// with its view. It returns nil if the call fails.
func fetchView(ctx context.Context, addr netip.AddrPort, self ccnode.Ref) *ccsettings.AgentView {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
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

// enrollHandler handles the agent's end of a connection on which only replies are
// expected.
type enrollHandler struct{}

// Notified ignores notifications.
func (*enrollHandler) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called rejects every request.
func (*enrollHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	go reply(nil, &Error{Op: method, Kind: KindMethod})
}

// Closed does nothing.
func (*enrollHandler) Closed(*ccrpc.Peer) {}
