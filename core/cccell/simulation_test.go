package cccell

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

const (
	step          = 10 * time.Millisecond
	callTimeout   = time.Second
	testRetention = 30 * time.Second
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// simulation runs the machines of one cell against a fake store on a simulated
// clock.
type simulation struct {
	testing.TB
	now               time.Time
	rng               *rand.Rand
	nodes             []*node
	store             *fakeStore
	events            []event
	settingsWatchDown bool // Leaders can't confirm their view, as if their watch of the settings failed.
	// Bytes of jsonrpc2 messages, by receiver.
	bytesToLeader, bytesToMembers int
}

type event struct {
	at time.Time
	do func()
}

// node is one agent. A paused node does nothing; what is delivered to it is
// deferred until it resumes.
type node struct {
	*Machine
	ref      ccnode.Ref
	addr     netip.AddrPort
	paused   bool
	dead     bool
	deferred []func()
}

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	sim := &simulation{TB: t, now: startTime, rng: rand.New(rand.NewPCG(seed, seed)), store: newFakeStore()}
	for i := range size {
		sim.nodes = append(sim.nodes, &node{})
		sim.restart(i)
	}
	return sim
}

// restart replaces the node with a new incarnation of it.
func (sim *simulation) restart(i int) {
	sim.nodes[i].dead = true
	n := &node{
		ref:  ccnode.Ref{ID: ccnode.ID(fmt.Sprintf("agent-%04d", i)), Incarnation: ccnode.NewIncarnation(sim.now) + 1},
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
	}
	n.Machine = New(Config{Self: ccwire.Member{Node: n.ref, Addr: n.addr, Domain: "a", Service: "proof", Slots: 8, StartedAt: sim.now.UnixMilli()}, Rand: sim.rng, Retention: testRetention}, sim.now)
	sim.nodes[i] = n
}

func (sim *simulation) kill(i int) { sim.nodes[i].dead = true }

func (sim *simulation) resume(i int) {
	n := sim.nodes[i]
	n.paused = false
	for _, do := range n.deferred {
		do()
	}
	n.deferred = nil
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.events = append(sim.events, event{at: sim.now.Add(d), do: do})
}

// deliver calls do, now or when the node is no longer paused. A dead node drops it.
func (n *node) deliver(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, do)
	default:
		do()
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		sim.store.expire(sim.now)
		due := sim.events
		sim.events = nil
		for _, e := range due {
			if e.at.After(sim.now) {
				sim.events = append(sim.events, e)
			} else {
				e.do()
			}
		}
		for _, n := range sim.nodes {
			if n.dead || n.paused {
				continue
			}
			if n.Leading() && !sim.settingsWatchDown {
				n.ConfirmView(sim.now)
			}
			for _, action := range n.Next(sim.now) {
				sim.execute(n, action)
			}
		}
	}
}

func (sim *simulation) execute(n *node, action Action) {
	switch action.Op {
	case OpJoin:
		sim.call(n, action.Addr, ccwire.MethodJoin, action.Join, func(leader *node) any { return leader.HandleJoin(sim.now, action.Join) })
	case OpHeartbeat:
		sim.call(n, action.Addr, ccwire.MethodHeartbeat, action.Heartbeat, func(leader *node) any {
			msg := action.Heartbeat
			msg.Cell, msg.Node = n.Cell(), n.ref // The receiver knows both from the connection.
			return leader.HandleHeartbeat(sim.now, msg)
		})
	case OpLeave:
		sim.call(n, action.Addr, ccwire.MethodLeave, action.Leave, func(leader *node) any { return leader.HandleLeave(sim.now, action.Leave) })
	case OpAnnounce:
		for _, addr := range action.Addrs {
			sim.bytesToMembers += wireBytes(ccwire.MethodLeader, action.Announcement)
			if to := sim.nodeAt(addr); to != nil {
				sim.schedule(step, func() { to.deliver(func() { to.HandleAnnouncement(sim.now, action.Announcement) }) })
			}
		}
	default:
		sent := sim.now
		sim.schedule(step, func() {
			deliverResult := sim.store.call(n, action, sent)
			delay := step
			if sim.store.down {
				delay = callTimeout
			}
			sim.schedule(delay, func() { n.deliver(func() { deliverResult(sim.now) }) })
		})
	}
}

func (sim *simulation) nodeAt(addr netip.AddrPort) *node {
	for _, n := range sim.nodes {
		if n.addr == addr && !n.dead {
			return n
		}
	}
	return nil
}

// call sends a request to the leader and delivers the reply, or a failure after
// callTimeout.
func (sim *simulation) call(n *node, addr netip.AddrPort, method string, params any, serve func(*node) any) {
	sim.bytesToLeader += wireBytes(method, params)
	open := true
	finish := func(reply any) {
		if !open {
			return
		}
		open = false
		n.deliver(func() {
			switch reply := reply.(type) {
			case ccwire.HeartbeatReply:
				n.HandleReply(sim.now, true, reply)
			case ccwire.LeaveReply:
				n.HandleLeaveReply(sim.now, true)
			default:
				if method == ccwire.MethodLeave {
					n.HandleLeaveReply(sim.now, false)
				} else {
					n.HandleReply(sim.now, false, ccwire.HeartbeatReply{})
				}
			}
		})
	}
	leader := sim.nodeAt(addr)
	if leader == nil {
		sim.schedule(step, func() { n.deliver(func() { n.HandleDisconnect(sim.now) }); finish(nil) })
		return
	}
	sim.schedule(callTimeout, func() { finish(nil) })
	sim.schedule(step, func() {
		leader.deliver(func() {
			reply := serve(leader)
			sim.bytesToMembers += replyBytes(reply)
			sim.schedule(step, func() { finish(reply) })
		})
	})
}

func wireBytes(method string, params any) int {
	request := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: 1000}}
	_ = request.SetParams(params)
	data, _ := json.Marshal(request)
	return len(data) + 2 // The length prefix of each message.
}

func replyBytes(result any) int {
	response := jsonrpc2.Response{ID: jsonrpc2.ID{Num: 1000}}
	_ = response.SetResult(result)
	data, _ := json.Marshal(response)
	return len(data) + 2
}

// leaseHolders returns the nodes that lead and hold their lease.
func (sim *simulation) leaseHolders() []int {
	var holders []int
	for i, n := range sim.nodes {
		if !n.dead && !n.paused && n.HoldsLease(sim.now) {
			holders = append(holders, i)
		}
	}
	return holders
}

// waitStable runs until one leader holds its lease and the record lists exactly
// the incarnations that run. It returns the leader.
func (sim *simulation) waitStable(within time.Duration) int {
	sim.Helper()
	for end := sim.now.Add(within); sim.now.Before(end); {
		sim.run(50 * time.Millisecond)
		if holders := sim.leaseHolders(); len(holders) == 1 && sim.stable(holders[0]) {
			return holders[0]
		}
	}
	sim.Fatalf("the cell is not stable after %s: lease holders %v, record %+v", within, sim.leaseHolders(), sim.store.record())
	return -1
}

func (sim *simulation) stable(leader int) bool {
	record := sim.store.record()
	if record.Leader != sim.nodes[leader].ref {
		return false
	}
	listed := make(map[ccnode.Ref]bool)
	for _, m := range record.Members {
		listed[m.Node] = true
	}
	alive := 0
	for _, n := range sim.nodes {
		if n.dead || n.paused {
			continue
		}
		alive++
		if !listed[n.ref] || !n.Joined() {
			return false
		}
	}
	return alive == len(listed)
}

func testView(version uint64) *ccsettings.AgentView {
	return &ccsettings.AgentView{Version: version, Fleet: ccsettings.Fleet{Cells: 1}}
}

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	down           bool
	loseReplies    int // Replies still to be lost, of writes that take effect.
	calls          int
	writes         int
	revision       uint64
	lastLease      uint64
	leases         map[uint64]time.Time
	leader         *LeaderRecord
	leaderRevision uint64
	leaderLease    uint64
	recordData     []byte
	recordRevision uint64
	writtenTerms   []uint64 // The term of every record that was written.
}

func newFakeStore() *fakeStore { return &fakeStore{leases: make(map[uint64]time.Time)} }

func (s *fakeStore) record() ccwire.CellRecord {
	var record ccwire.CellRecord
	_ = json.Unmarshal(s.recordData, &record)
	return record
}

func (s *fakeStore) expire(now time.Time) {
	if s.leader != nil && now.After(s.leases[s.leaderLease]) {
		s.leader, s.leaderRevision = nil, 0
	}
}

// loseReply makes the outcome of a successful write unknown while replies are to
// be lost.
func (s *fakeStore) loseReply(outcome Outcome) Outcome {
	if outcome == OutcomeOK && s.loseReplies > 0 {
		s.loseReplies--
		return OutcomeUnknown
	}
	return outcome
}

// call executes a store call and returns the function that delivers its result.
func (s *fakeStore) call(n *node, action Action, sent time.Time) func(now time.Time) {
	s.calls++
	outcome := OutcomeOK
	if s.down {
		outcome = OutcomeUnknown
	}
	switch action.Op {
	case OpRead:
		state := StoreState{Outcome: outcome, Leader: s.leader, LeaderRevision: s.leaderRevision, LeaderLease: s.leaderLease, Record: s.record(), RecordRevision: s.recordRevision}
		if s.leader != nil && s.leader.Node.ID != n.ref.ID && !action.WithRecord {
			state.Record, state.RecordRevision = ccwire.CellRecord{}, 0
		}
		return func(now time.Time) { n.HandleRead(now, state) }
	case OpCampaign:
		result := s.campaign(n, action, sent, outcome)
		return func(now time.Time) { n.HandleCampaign(now, result) }
	case OpRenew:
		if outcome == OutcomeOK {
			outcome = s.renew(action.Lease, sent)
		}
		return func(now time.Time) { n.HandleRenew(now, outcome, sent) }
	case OpWrite:
		if outcome == OutcomeOK {
			outcome = s.write(action)
		}
		return func(now time.Time) { n.HandleWrite(now, outcome, action.Record, s.recordRevision) }
	default:
		if outcome == OutcomeOK && s.leaderLease == action.Lease {
			s.leader, s.leaderRevision = nil, 0
		}
		return func(time.Time) { n.HandleResign() }
	}
}

func (s *fakeStore) campaign(n *node, action Action, sent time.Time, outcome Outcome) CampaignResult {
	if outcome != OutcomeOK {
		return CampaignResult{Outcome: outcome}
	}
	s.lastLease++
	s.writes += 2
	s.leases[s.lastLease] = sent.Add(LeaseTTL)
	result := CampaignResult{Lease: s.lastLease, Sent: sent}
	if s.leaderRevision != action.Expected {
		result.Outcome = OutcomeConflict
		return result
	}
	s.revision++
	s.leader, s.leaderRevision, s.leaderLease = &LeaderRecord{Node: n.ref, Addr: n.addr}, s.revision, s.lastLease
	result.Outcome = s.loseReply(OutcomeOK)
	return result
}

func (s *fakeStore) renew(lease uint64, sent time.Time) Outcome {
	s.writes++
	if s.leader == nil || s.leaderLease != lease {
		return OutcomeLeaseGone
	}
	s.leases[lease] = sent.Add(LeaseTTL)
	return s.loseReply(OutcomeOK)
}

func (s *fakeStore) write(action Action) Outcome {
	s.writes++
	if s.recordRevision != action.Expected {
		return OutcomeConflict
	}
	s.revision++
	s.recordRevision = s.revision
	s.recordData, _ = json.Marshal(action.Record)
	s.writtenTerms = append(s.writtenTerms, action.Record.Term)
	return s.loseReply(OutcomeOK)
}
