package cccell

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// follower is the state of a member that doesn't lead.
type follower struct {
	known     bool // A lead's address is known.
	lead      LeaderRecord
	joined    bool
	heard     time.Time // When the lead last answered, or was first found.
	beatAt    time.Time
	askedAt   time.Time
	lookAt    time.Time // When to look at the store. Zero is not at all.
	failures  int       // Looks in a row that failed or found the silent lead again.
	size      int       // Members of the cell, as far as known.
	waited    bool      // The turn to stand has come; one more look decides.
	standNow  bool
	beatSent  time.Time
	confirmed time.Time // When a heartbeat was sent whose reply vouched for the view.
}

// nextLink returns the next message to the lead.
func (m *Machine) nextLink(now time.Time) (Action, bool) {
	f := &m.follow
	if !f.known {
		return Action{}, false
	}
	if now.Sub(f.heard) > leadSilence && f.lookAt.IsZero() {
		m.lookSoon(now, m.spread())
	}
	if m.leave.wanted && !m.leave.told && f.joined {
		return Action{Op: OpLeave, Addr: f.lead.Addr, Leave: ccwire.Leave{Cell: m.cfg.Cell, Node: m.self.Node, Exiting: m.leave.gone}}, true
	}
	if now.Before(f.beatAt) || m.leave.gone {
		return Action{}, false
	}
	if !f.joined {
		return Action{Op: OpJoin, Addr: f.lead.Addr, Join: ccwire.Join{Cell: m.cfg.Cell, Member: m.self}}, true
	}
	f.beatSent = now
	return Action{Op: OpHeartbeat, Addr: f.lead.Addr, Heartbeat: ccwire.Heartbeat{Version: m.Version()}}, true
}

// HandleReply takes the lead's answer to a join or a heartbeat, or its failure. The
// view inside is for the caller to put into force.
func (m *Machine) HandleReply(now time.Time, ok bool, reply ccwire.HeartbeatReply) {
	m.linkBusy = false
	f := &m.follow
	if ok {
		m.SetView(reply.View)
	}
	switch {
	case !ok:
		f.joined = false
		f.beatAt = now.Add(jitter(m.cfg.Rand, linkRetry))
	case reply.UnknownMember && f.joined:
		// A lead that doesn't know the member may be a new one: join it.
		f.joined = false
		f.beatAt = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(linkRetry))))
	case reply.UnknownMember:
		f.beatAt = now.Add(jitter(m.cfg.Rand, linkRetry))
		m.lookSoon(now, m.spread())
	default:
		f.joined, f.heard = true, now
		f.beatAt = now.Add(jitter(m.cfg.Rand, beatInterval))
		f.lookAt, f.failures, f.waited = time.Time{}, 0, false
		f.size = max(f.size, reply.Members)
		m.term = max(m.term, reply.Term)
		if reply.Current {
			f.confirmed = f.beatSent
		}
	}
}

// ViewConfirmedAt returns when the view in force here was last known to be the newest.
func (m *Machine) ViewConfirmedAt() time.Time {
	if m.lead != nil {
		return m.current
	}
	return m.follow.confirmed
}

// HandleDisconnect tells that the connection to the lead has ended.
func (m *Machine) HandleDisconnect(now time.Time) {
	m.follow.joined = false
	if m.lead == nil {
		m.lookSoon(now, m.spread())
	}
}

// spread returns over how long the members of this cell spread their looks.
func (m *Machine) spread() time.Duration {
	return min(max(time.Duration(m.follow.size)*lookSpread, minLookSpread), maxLookSpread)
}

// HeartbeatNow sends the next heartbeat early, since someone has named a newer settings
// version than the one held.
func (m *Machine) HeartbeatNow(now time.Time) {
	f := &m.follow
	if !f.joined || now.Sub(f.askedAt) < askGap {
		return
	}
	f.askedAt, f.beatAt = now, now
}

// lookSoon plans a look at the store at a random time within the delay, unless
// one is planned before.
func (m *Machine) lookSoon(now time.Time, within time.Duration) {
	at := now.Add(time.Duration(m.cfg.Rand.Int64N(int64(within) + 1)))
	if m.follow.lookAt.IsZero() || at.Before(m.follow.lookAt) {
		m.follow.lookAt = at
	}
}

// HandleRead takes what the store holds.
func (m *Machine) HandleRead(now time.Time, look StoreState) {
	m.storeBusy = false
	f := &m.follow
	f.lookAt = time.Time{}
	if look.Outcome != OutcomeOK {
		m.lookLater(now)
		return
	}
	m.look = look
	m.term = max(m.term, look.Record.Term)
	pending := m.pending
	m.pending = CampaignResult{}
	switch {
	case tookEffect(pending, look, m.self.Node):
		m.becomeLead(now, pending)
	case m.lead != nil:
		m.lookedAsLead(now, look)
	case look.Leader == nil, look.Leader.Node.ID == m.self.Node.ID:
		m.consider(now)
	default:
		m.followLead(now, *look.Leader)
	}
}

// SetLeader takes the lead that was seen in the store just now, in place of the first
// look.
func (m *Machine) SetLeader(now time.Time, lead LeaderRecord) {
	m.follow.lookAt = time.Time{}
	m.followLead(now, lead)
}

// tookEffect reports whether a swap of the lead's key that was not answered did
// take effect.
func tookEffect(pending CampaignResult, look StoreState, self ccnode.Ref) bool {
	return pending.Lease != 0 && look.Leader != nil && look.Leader.Node == self && look.LeaderLease == pending.Lease
}

// followLead goes on with the lead that the store names.
func (m *Machine) followLead(now time.Time, found LeaderRecord) {
	f := &m.follow
	f.waited = false
	if !f.known || f.lead != found {
		f.known, f.lead, f.joined, f.failures = true, found, false, 0
		f.heard, f.beatAt = now, now
		return
	}
	// The store still names the lead that is silent. If it is dead its lease ends
	// within its time to live, so the next look comes about then.
	if !f.joined {
		f.failures++
		delay := LeaseTTL*3/4 + time.Duration(m.cfg.Rand.Int64N(int64(LeaseTTL/3)))
		if f.failures > patientLooks {
			delay *= 2
		}
		f.lookAt = now.Add(delay)
	}
}

// lookLater plans the look after one that failed, each time later.
func (m *Machine) lookLater(now time.Time) {
	f := &m.follow
	f.failures++
	delay := min(lookRetry<<min(f.failures-1, 8), maxLookRetry)
	f.lookAt = now.Add(jitter(m.cfg.Rand, max(delay, m.spread())))
}

// HandleAnnouncement takes the news of a new lead from that lead. An agent that leads
// itself trusts only the store.
func (m *Machine) HandleAnnouncement(now time.Time, msg ccwire.LeaderAnnouncement) {
	if msg.Cell != m.cfg.Cell || msg.Term < m.term || msg.Term == m.term && m.follow.joined {
		return
	}
	if m.lead != nil {
		m.lookSoon(now, linkRetry)
		return
	}
	m.term = msg.Term
	m.follow.lookAt, m.follow.standNow = time.Time{}, false
	m.followLead(now, LeaderRecord{Node: msg.Node, Addr: msg.Addr})
}

// consider stands for election when this member's turn has come, and otherwise
// waits for its turn and looks again.
func (m *Machine) consider(now time.Time) {
	f := &m.follow
	f.known, f.joined = false, false
	if m.leave.wanted {
		f.lookAt = now.Add(jitter(m.cfg.Rand, lookRetry))
		return
	}
	delay := m.electionDelay()
	if f.waited || delay == 0 {
		f.standNow = true
		return
	}
	f.waited = true
	f.lookAt = now.Add(delay)
}

// electionDelay returns how long this member lets others stand first.
func (m *Machine) electionDelay() time.Duration {
	rank := m.rank()
	if rank < 0 {
		return time.Duration(m.cfg.Rand.Int64N(int64(startSpread)))
	}
	return min(time.Duration(rank)*electionSlot, maxElectionDelay)
}

// rank returns this member's place in the order of the next election, or -1 when
// the record doesn't list it. The order differs by term, and the silent lead
// comes last.
func (m *Machine) rank() int {
	record := &m.look.Record
	ids := make([]ccnode.ID, 0, len(record.Members))
	for _, member := range record.Members {
		if member.Node != record.Leader && !member.Leaving {
			ids = append(ids, member.Node.ID)
		}
	}
	place := func(id ccnode.ID) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(record.Term, 10) + "/" + string(id))
	}
	slices.SortFunc(ids, func(a, b ccnode.ID) int { return cmp.Compare(place(a), place(b)) })
	return slices.Index(ids, m.self.Node.ID)
}
