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
	leaderKnown        bool // Whether leader is set.
	leader             LeaderRecord
	joined             bool
	lastHeard          time.Time // When the leader last replied, or was first found.
	heartbeatAt        time.Time
	lastEarlyHeartbeat time.Time
	readAt             time.Time // When to read the store. Zero if no read is scheduled.
	failures           int       // Consecutive reads that failed or found the silent leader again.
	members            int       // Number of members of the cell, as far as known.
	electionDelayed    bool      // The election delay has been scheduled; the read after it decides.
	campaignNow        bool
	heartbeatSent      time.Time
	viewConfirmedAt    time.Time // When the last heartbeat was sent whose reply confirmed the view.
}

// nextLeaderRequest returns the next request to the leader.
func (m *Machine) nextLeaderRequest(now time.Time) (Action, bool) {
	f := &m.follower
	if !f.leaderKnown {
		return Action{}, false
	}
	if now.Sub(f.lastHeard) > leaderTimeout && f.readAt.IsZero() {
		m.scheduleRead(now, m.readSpread())
	}
	if m.leave.requested && !m.leave.done && f.joined {
		return Action{Op: OpLeave, Addr: f.leader.Addr, Leave: ccwire.Leave{Cell: m.cfg.Cell, Node: m.self.Node, Exiting: m.leave.exiting}}, true
	}
	if now.Before(f.heartbeatAt) || m.leave.exiting {
		return Action{}, false
	}
	if !f.joined {
		return Action{Op: OpJoin, Addr: f.leader.Addr, Join: ccwire.Join{Cell: m.cfg.Cell, Member: m.self}}, true
	}
	f.heartbeatSent = now
	return Action{Op: OpHeartbeat, Addr: f.leader.Addr, Heartbeat: ccwire.Heartbeat{Version: m.Version()}}, true
}

// HandleReply processes the leader's reply to a join or a heartbeat, or its
// failure. The caller has to apply the view in the reply.
func (m *Machine) HandleReply(now time.Time, ok bool, reply ccwire.HeartbeatReply) {
	m.leaderBusy = false
	f := &m.follower
	if ok {
		m.SetView(reply.View)
	}
	switch {
	case !ok:
		f.joined = false
		f.heartbeatAt = now.Add(jitter(m.cfg.Rand, leaderRetry))
	case reply.UnknownMember && f.joined:
		// A leader that doesn't know the member may be newly elected: join it.
		f.joined = false
		f.heartbeatAt = now.Add(time.Duration(m.cfg.Rand.Int64N(int64(leaderRetry))))
	case reply.UnknownMember:
		f.heartbeatAt = now.Add(jitter(m.cfg.Rand, leaderRetry))
		m.scheduleRead(now, m.readSpread())
	default:
		f.joined, f.lastHeard = true, now
		f.heartbeatAt = now.Add(jitter(m.cfg.Rand, heartbeatInterval))
		f.readAt, f.failures, f.electionDelayed = time.Time{}, 0, false
		f.members = max(f.members, reply.Members)
		m.term = max(m.term, reply.Term)
		if reply.Current {
			f.viewConfirmedAt = f.heartbeatSent
		}
	}
}

// ViewConfirmedAt returns when the agent's view was last known to be the newest.
func (m *Machine) ViewConfirmedAt() time.Time {
	if m.leader != nil {
		return m.viewConfirmedAt
	}
	return m.follower.viewConfirmedAt
}

// HandleDisconnect handles the end of the connection to the leader.
func (m *Machine) HandleDisconnect(now time.Time) {
	m.follower.joined = false
	if m.leader == nil {
		m.scheduleRead(now, m.readSpread())
	}
}

// readSpread returns the interval over which the members of this cell spread their
// reads of the store.
func (m *Machine) readSpread() time.Duration {
	return min(max(time.Duration(m.follower.members)*readSpreadPerMember, minReadSpread), maxReadSpread)
}

// HeartbeatNow sends the next heartbeat early, because another node has named a
// newer settings version than the one held.
func (m *Machine) HeartbeatNow(now time.Time) {
	f := &m.follower
	if !f.joined || now.Sub(f.lastEarlyHeartbeat) < minEarlyHeartbeatInterval {
		return
	}
	f.lastEarlyHeartbeat, f.heartbeatAt = now, now
}

// scheduleRead schedules a read of the store at a random time within the given
// duration, unless an earlier one is scheduled.
func (m *Machine) scheduleRead(now time.Time, within time.Duration) {
	at := now.Add(time.Duration(m.cfg.Rand.Int64N(int64(within) + 1)))
	if m.follower.readAt.IsZero() || at.Before(m.follower.readAt) {
		m.follower.readAt = at
	}
}

// HandleRead processes the result of OpRead.
func (m *Machine) HandleRead(now time.Time, state StoreState) {
	m.storeBusy = false
	f := &m.follower
	f.readAt = time.Time{}
	if state.Outcome != OutcomeOK {
		m.backOffRead(now)
		return
	}
	m.lastRead = state
	m.term = max(m.term, state.Record.Term)
	pending := m.pendingCampaign
	m.pendingCampaign = CampaignResult{}
	switch {
	case campaignSucceeded(pending, state, m.self.Node):
		m.becomeLeader(now, pending)
	case m.leader != nil:
		m.handleReadAsLeader(now, state)
	case state.Leader == nil, state.Leader.Node.ID == m.self.Node.ID:
		m.considerCampaign(now)
	default:
		m.followLeader(now, *state.Leader)
	}
}

// SetLeader sets the leader that the caller has just read from the store. It
// replaces the first OpRead.
func (m *Machine) SetLeader(now time.Time, found LeaderRecord) {
	m.follower.readAt = time.Time{}
	m.followLeader(now, found)
}

// campaignSucceeded reports whether a campaign whose outcome was unknown did take
// effect.
func campaignSucceeded(pending CampaignResult, state StoreState, self ccnode.Ref) bool {
	return pending.Lease != 0 && state.Leader != nil && state.Leader.Node == self && state.LeaderLease == pending.Lease
}

// followLeader follows the leader that the store or an announcement names.
func (m *Machine) followLeader(now time.Time, found LeaderRecord) {
	f := &m.follower
	f.electionDelayed = false
	if !f.leaderKnown || f.leader != found {
		f.leaderKnown, f.leader, f.joined, f.failures = true, found, false, 0
		f.lastHeard, f.heartbeatAt = now, now
		return
	}
	// The store still names the silent leader. If that leader is dead, its lease
	// ends within LeaseTTL, so the next read is scheduled for about then.
	if !f.joined {
		f.failures++
		delay := LeaseTTL*3/4 + time.Duration(m.cfg.Rand.Int64N(int64(LeaseTTL/3)))
		if f.failures > maxFrequentReads {
			delay *= 2
		}
		f.readAt = now.Add(delay)
	}
}

// backOffRead schedules the read after a failed one, with exponential backoff.
func (m *Machine) backOffRead(now time.Time) {
	f := &m.follower
	f.failures++
	delay := min(readRetry<<min(f.failures-1, 8), maxReadRetry)
	f.readAt = now.Add(jitter(m.cfg.Rand, max(delay, m.readSpread())))
}

// HandleAnnouncement processes the announcement of a new leader. An agent that
// leads trusts only the store, and reads it.
func (m *Machine) HandleAnnouncement(now time.Time, msg ccwire.LeaderAnnouncement) {
	if msg.Cell != m.cfg.Cell || msg.Term < m.term || msg.Term == m.term && m.follower.joined {
		return
	}
	if m.leader != nil {
		m.scheduleRead(now, leaderRetry)
		return
	}
	m.term = msg.Term
	m.follower.readAt, m.follower.campaignNow = time.Time{}, false
	m.followLeader(now, LeaderRecord{Node: msg.Node, Addr: msg.Addr})
}

// considerCampaign campaigns if this member's election delay is over. Otherwise it
// schedules another read of the store after the delay.
func (m *Machine) considerCampaign(now time.Time) {
	f := &m.follower
	f.leaderKnown, f.joined = false, false
	if m.leave.requested {
		f.readAt = now.Add(jitter(m.cfg.Rand, readRetry))
		return
	}
	delay := m.electionDelay()
	if f.electionDelayed || delay == 0 {
		f.campaignNow = true
		return
	}
	f.electionDelayed = true
	f.readAt = now.Add(delay)
}

// electionDelay returns how long this member lets others campaign first.
func (m *Machine) electionDelay() time.Duration {
	rank := m.electionRank()
	if rank < 0 {
		return time.Duration(m.cfg.Rand.Int64N(int64(unlistedElectionSpread)))
	}
	return min(time.Duration(rank)*electionSlot, maxElectionDelay)
}

// electionRank returns this member's rank in the next election, or -1 if the record
// doesn't list it as a candidate: the silent leader and leaving members have no
// rank. The order differs by term.
func (m *Machine) electionRank() int {
	record := &m.lastRead.Record
	ids := make([]ccnode.ID, 0, len(record.Members))
	for _, member := range record.Members {
		if member.Node != record.Leader && !member.Leaving {
			ids = append(ids, member.Node.ID)
		}
	}
	hash := func(id ccnode.ID) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(record.Term, 10) + "/" + string(id))
	}
	slices.SortFunc(ids, func(a, b ccnode.ID) int { return cmp.Compare(hash(a), hash(b)) })
	return slices.Index(ids, m.self.Node.ID)
}
