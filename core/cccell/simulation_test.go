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

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet runs the machines of one cell against a fake store in its own time.
type fleet struct {
	testing.TB
	now    time.Time
	rng    *rand.Rand
	nodes  []*node
	store  *fakeStore
	events []event
	blind  bool // The watch of the settings fails at leads.
	// Bytes of jsonrpc2 messages, by where they went.
	toLead, toMember int
}

type event struct {
	at time.Time
	do func()
}

// node is one agent. A paused node acts on nothing; what reaches it waits.
type node struct {
	*Machine
	ref    ccnode.Ref
	addr   netip.AddrPort
	paused bool
	dead   bool
	waits  []func()
}

func newFleet(t testing.TB, seed uint64, size int) *fleet {
	f := &fleet{TB: t, now: epoch, rng: rand.New(rand.NewPCG(seed, seed)), store: newFakeStore()}
	for i := range size {
		f.nodes = append(f.nodes, &node{})
		f.restart(i)
	}
	return f
}

// restart gives the node a new life.
func (f *fleet) restart(i int) {
	f.nodes[i].dead = true
	n := &node{
		ref:  ccnode.Ref{ID: ccnode.ID(fmt.Sprintf("agent-%04d", i)), Incarnation: ccnode.NewIncarnation(f.now) + 1},
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
	}
	n.Machine = New(Config{Self: ccwire.Member{Node: n.ref, Addr: n.addr, Domain: "a", Service: "proof", Slots: 8, StartedAt: f.now.UnixMilli()}, Rand: f.rng, Retention: testRetention}, f.now)
	f.nodes[i] = n
}

func (f *fleet) kill(i int) { f.nodes[i].dead = true }

func (f *fleet) resume(i int) {
	n := f.nodes[i]
	n.paused = false
	for _, do := range n.waits {
		do()
	}
	n.waits = nil
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{at: f.now.Add(d), do: do})
}

// reach has the node act, now or when it is no longer paused.
func (n *node) reach(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.waits = append(n.waits, do)
	default:
		do()
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.store.expire(f.now)
		due := f.events
		f.events = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.events = append(f.events, e)
			} else {
				e.do()
			}
		}
		for _, n := range f.nodes {
			if n.dead || n.paused {
				continue
			}
			if n.Leading() && !f.blind {
				n.ConfirmView(f.now)
			}
			for _, action := range n.Next(f.now) {
				f.act(n, action)
			}
		}
	}
}

func (f *fleet) act(n *node, action Action) {
	switch action.Op {
	case OpJoin:
		f.call(n, action.Addr, ccwire.MethodJoin, action.Join, func(lead *node) any { return lead.HandleJoin(f.now, action.Join) })
	case OpHeartbeat:
		f.call(n, action.Addr, ccwire.MethodHeartbeat, action.Heartbeat, func(lead *node) any {
			msg := action.Heartbeat
			msg.Cell, msg.Node = n.Cell(), n.ref // As the connection tells.
			return lead.HandleHeartbeat(f.now, msg)
		})
	case OpLeave:
		f.call(n, action.Addr, ccwire.MethodLeave, action.Leave, func(lead *node) any { return lead.HandleLeave(f.now, action.Leave) })
	case OpAnnounce:
		for _, addr := range action.Addrs {
			f.toMember += wireBytes(ccwire.MethodLeader, action.Announcement)
			if to := f.at(addr); to != nil {
				f.after(step, func() { to.reach(func() { to.HandleAnnouncement(f.now, action.Announcement) }) })
			}
		}
	default:
		sent := f.now
		f.after(step, func() {
			answer := f.store.do(n, action, sent)
			delay := step
			if f.store.down {
				delay = callTimeout
			}
			f.after(delay, func() { n.reach(func() { answer(f.now) }) })
		})
	}
}

func (f *fleet) at(addr netip.AddrPort) *node {
	for _, n := range f.nodes {
		if n.addr == addr && !n.dead {
			return n
		}
	}
	return nil
}

// call carries a request to the lead and its reply back, or a timeout.
func (f *fleet) call(n *node, addr netip.AddrPort, method string, params any, serve func(*node) any) {
	f.toLead += wireBytes(method, params)
	open := true
	finish := func(reply any) {
		if !open {
			return
		}
		open = false
		n.reach(func() {
			switch reply := reply.(type) {
			case ccwire.HeartbeatReply:
				n.HandleReply(f.now, true, reply)
			case ccwire.LeaveReply:
				n.HandleLeaveReply(f.now, true)
			default:
				if method == ccwire.MethodLeave {
					n.HandleLeaveReply(f.now, false)
				} else {
					n.HandleReply(f.now, false, ccwire.HeartbeatReply{})
				}
			}
		})
	}
	lead := f.at(addr)
	if lead == nil {
		f.after(step, func() { n.reach(func() { n.HandleDisconnect(f.now) }); finish(nil) })
		return
	}
	f.after(callTimeout, func() { finish(nil) })
	f.after(step, func() {
		lead.reach(func() {
			reply := serve(lead)
			f.toMember += replyBytes(reply)
			f.after(step, func() { finish(reply) })
		})
	})
}

func wireBytes(method string, params any) int {
	request := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: 1000}}
	_ = request.SetParams(params)
	data, _ := json.Marshal(request)
	return len(data) + 2 // The length before each message.
}

func replyBytes(result any) int {
	response := jsonrpc2.Response{ID: jsonrpc2.ID{Num: 1000}}
	_ = response.SetResult(result)
	data, _ := json.Marshal(response)
	return len(data) + 2
}

// leads returns the nodes that lead and hold their lease.
func (f *fleet) leads() []int {
	var leads []int
	for i, n := range f.nodes {
		if !n.dead && !n.paused && n.HoldsLease(f.now) {
			leads = append(leads, i)
		}
	}
	return leads
}

// settle runs until one lead holds the cell and the record lists exactly the
// lives that run. It returns the lead.
func (f *fleet) settle(within time.Duration) int {
	f.Helper()
	for end := f.now.Add(within); f.now.Before(end); {
		f.run(50 * time.Millisecond)
		if leads := f.leads(); len(leads) == 1 && f.whole(leads[0]) {
			return leads[0]
		}
	}
	f.Fatalf("no whole cell after %s: leads %v, record %+v", within, f.leads(), f.store.record())
	return -1
}

func (f *fleet) whole(lead int) bool {
	record := f.store.record()
	if record.Leader != f.nodes[lead].ref {
		return false
	}
	listed := make(map[ccnode.Ref]bool)
	for _, m := range record.Members {
		listed[m.Node] = true
	}
	alive := 0
	for _, n := range f.nodes {
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

// fakeStore is the store, with its faults.
type fakeStore struct {
	down     bool
	lose     int // Answers to writes still to be lost after they took effect.
	calls    int
	writes   int
	revision uint64
	next     uint64
	leases   map[uint64]time.Time
	lead     *LeaderRecord
	leadRev  uint64
	leadBy   uint64
	value    []byte
	valueRev uint64
	terms    []uint64 // Of every record that was written.
}

func newFakeStore() *fakeStore { return &fakeStore{leases: make(map[uint64]time.Time)} }

func (s *fakeStore) record() ccwire.CellRecord {
	var record ccwire.CellRecord
	_ = json.Unmarshal(s.value, &record)
	return record
}

func (s *fakeStore) expire(now time.Time) {
	if s.lead != nil && now.After(s.leases[s.leadBy]) {
		s.lead, s.leadRev = nil, 0
	}
}

// lost turns the answer to a write into an unknown one when the fault asks.
func (s *fakeStore) lost(fault Outcome) Outcome {
	if fault == OutcomeOK && s.lose > 0 {
		s.lose--
		return OutcomeUnknown
	}
	return fault
}

// do carries out a call and returns how to answer it.
func (s *fakeStore) do(n *node, action Action, sent time.Time) func(now time.Time) {
	s.calls++
	fault := OutcomeOK
	if s.down {
		fault = OutcomeUnknown
	}
	switch action.Op {
	case OpRead:
		look := StoreState{Outcome: fault, Leader: s.lead, LeaderRevision: s.leadRev, LeaderLease: s.leadBy, Record: s.record(), RecordRevision: s.valueRev}
		if s.lead != nil && s.lead.Node.ID != n.ref.ID && !action.WithRecord {
			look.Record, look.RecordRevision = ccwire.CellRecord{}, 0
		}
		return func(now time.Time) { n.HandleRead(now, look) }
	case OpCampaign:
		stand := s.stand(n, action, sent, fault)
		return func(now time.Time) { n.HandleCampaign(now, stand) }
	case OpRenew:
		if fault == OutcomeOK {
			fault = s.renew(action.Lease, sent)
		}
		return func(now time.Time) { n.HandleRenew(now, fault, sent) }
	case OpWrite:
		if fault == OutcomeOK {
			fault = s.write(action)
		}
		return func(now time.Time) { n.HandleWrite(now, fault, action.Record, s.valueRev) }
	default:
		if fault == OutcomeOK && s.leadBy == action.Lease {
			s.lead, s.leadRev = nil, 0
		}
		return func(time.Time) { n.HandleResign() }
	}
}

func (s *fakeStore) stand(n *node, action Action, sent time.Time, fault Outcome) CampaignResult {
	if fault != OutcomeOK {
		return CampaignResult{Outcome: fault}
	}
	s.next++
	s.writes += 2
	s.leases[s.next] = sent.Add(LeaseTTL)
	stand := CampaignResult{Lease: s.next, Sent: sent}
	if s.leadRev != action.Expected {
		stand.Outcome = OutcomeConflict
		return stand
	}
	s.revision++
	s.lead, s.leadRev, s.leadBy = &LeaderRecord{Node: n.ref, Addr: n.addr}, s.revision, s.next
	stand.Outcome = s.lost(OutcomeOK)
	return stand
}

func (s *fakeStore) renew(lease uint64, sent time.Time) Outcome {
	s.writes++
	if s.lead == nil || s.leadBy != lease {
		return OutcomeLeaseGone
	}
	s.leases[lease] = sent.Add(LeaseTTL)
	return s.lost(OutcomeOK)
}

func (s *fakeStore) write(action Action) Outcome {
	s.writes++
	if s.valueRev != action.Expected {
		return OutcomeConflict
	}
	s.revision++
	s.valueRev = s.revision
	s.value, _ = json.Marshal(action.Record)
	s.terms = append(s.terms, action.Record.Term)
	return s.lost(OutcomeOK)
}
