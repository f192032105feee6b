package cclease

import (
	"slices"
	"time"

	"camphorcroft/core/ccdemand"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// owner is the agent's state of an entry, which owns the runs that it ordered.
type owner struct {
	ref       ccnode.Ref
	session   uint64 // The number of the latest session that was opened.
	connected bool
	// lastHeard is the latest agent clock value that the entry has echoed: the time of
	// the last report that it certainly received.
	lastHeard       time.Time
	lastMessage     time.Time // When its last orders came, however old their echo was.
	handledSequence uint64
	lastOrder       uint64 // The number of the last start order.
	wantsPlan       bool   // The entry has asked for the plan.
	// pieceWanted is the piece of the plan that the entry has asked for, holdsPlan the revision
	// of the plan of which it has sent a piece, and asksPiece is set if it is asked for the next.
	pieceWanted    *ccwire.PlanPosition
	holdsPlan      uint64
	asksPiece      bool
	retiring       bool // The session is about to be closed.
	sentInfo       *ccwire.WorkerInfo
	sentToken      uint64
	pendingEnds    []ccwire.RunResult
	recentEnds     []recentEnd
	pendingCrashes []ccwire.CrashReport
	reportedAt     time.Time
	reportNow      bool
	demand         *ccwire.Demand // Nil is none.
	demandAt       time.Time
	offer          offer
	// summary has the rows of the summary in the entry's last orders, less what was offered
	// since. It is nil if they had none.
	summary []ccdemand.Row
	// credit is that of ccdemand.Claim.
	credit float64
	// offersFrom is when an entry that used nothing of an offer gets the next one.
	offersFrom  time.Time
	reportedCPU int64 // The free CPU in the last report.
	// capacityInterval is the shortest time that the entry wants between reports of
	// changed capacity alone.
	capacityInterval time.Duration
}

// sessionRequest is the agent's latest request for a session with an entry.
type sessionRequest struct {
	entry   ccnode.Ref
	session uint64
	at      time.Time
	opened  bool
}

// recentEnd is the end of a run, kept for a while for an entry that reconnects.
type recentEnd struct {
	ended ccwire.RunResult
	at    time.Time
}

func (o *owner) pruneEnds(now time.Time) {
	kept := o.recentEnds[:0]
	for _, end := range o.recentEnds {
		if now.Sub(end.at) <= endRetention {
			kept = append(kept, end)
		}
	}
	o.recentEnds = kept
}

// AttachRequest returns the request for a session with an entry, with the number that the
// entry has issued. It closes the entry's previous session. It reports false, and changes
// nothing, if a later session of the same entry has been requested before.
func (m *Manager) AttachRequest(now time.Time, self, entry ccnode.Ref, session uint64) (ccwire.Attach, bool) {
	if latest := m.requests[entry.ID]; latest.entry == entry && session <= latest.session {
		return ccwire.Attach{}, false
	}
	m.requests[entry.ID] = sessionRequest{entry: entry, session: session, at: now}
	m.SessionClosed(entry.ID)
	attach := ccwire.Attach{Node: self, Session: session, Runs: []ccwire.RunRef{}, PlanPieces: true}
	o := m.owners[entry.ID]
	if o != nil && o.ref != entry {
		o = nil // What an earlier incarnation ordered does not concern this one.
	}
	if o != nil {
		attach.PreviousSession = o.session
		for _, r := range m.runList {
			if r.owner == entry {
				attach.Runs = append(attach.Runs, ccwire.RunRef{Task: r.task, Order: r.order})
			}
		}
	}
	attach.Report = m.newReport(now, o, false)
	attach.Report.Worker = m.workerInfo
	attach.Report.Token = m.token
	attach.Report.Crashes = m.crashesSince(now.Add(-crashRetention))
	if o != nil {
		attach.Report.Results = nil
		o.pendingEnds = nil // They are also among the recent ends.
		for _, end := range o.recentEnds {
			attach.Report.Results = append(attach.Report.Results, end.ended)
		}
	}
	return attach, true
}

// SessionOpened records a session that the entry has accepted. The runs of an earlier
// incarnation of the entry are stopped. It reports false, and changes nothing, unless the
// session is that of the latest request to the entry and is opened for the first time: the
// agent has turned to another one, whose request lists the runs without those that the
// orders of this one would start.
func (m *Manager) SessionOpened(now time.Time, entry ccnode.Ref, session uint64) bool {
	request := m.requests[entry.ID]
	if request.entry != entry || request.session != session || request.opened {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Session reply ignored.", Entry: entry.ID, Session: session})
		return false
	}
	request.opened = true
	m.requests[entry.ID] = request
	o := m.owners[entry.ID]
	if o == nil || o.ref != entry {
		if o != nil {
			m.stopOwnedRuns(now, o.ref, "entry has a new incarnation")
		}
		m.ownerList = slices.DeleteFunc(m.ownerList, func(other *owner) bool { return other == o })
		o = &owner{ref: entry}
		m.owners[entry.ID] = o
		m.ownerList = append(m.ownerList, o)
	}
	o.connected, o.session = true, session
	o.lastHeard = request.at
	o.handledSequence = 0
	o.reportNow = true
	o.sentInfo, o.sentToken = nil, 0
	// The request for the session has the earlier ones.
	o.pendingCrashes = m.crashesSince(request.at)
	o.retiring, o.wantsPlan = false, false
	o.pieceWanted, o.holdsPlan, o.asksPiece = nil, 0, false
	o.demand, o.summary, o.offer = nil, nil, offer{}
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Session opened.", Entry: entry.ID, Clock: request.at.Sub(m.cfg.StartTime), Session: session})
	m.sendDueReports(now)
	return true
}

// SessionClosed records that the session has ended. The entry's runs continue until
// it has been silent for OwnerTimeout.
func (m *Manager) SessionClosed(entry ccnode.ID) {
	if o := m.owners[entry]; o != nil && o.connected {
		o.connected = false
		o.demand, o.summary, o.offer = nil, nil, offer{}
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Session closed.", Entry: entry})
	}
}

// Retire announces to an entry that its session is about to be closed, because the agent
// needs it no longer. The entry orders no more starts from then on.
func (m *Manager) Retire(now time.Time, entry ccnode.ID) {
	if o := m.owners[entry]; o != nil && !o.retiring {
		o.retiring, o.reportNow = true, true
		m.sendDueReports(now)
	}
}

// Restore takes back Retire.
func (m *Manager) Restore(now time.Time, entry ccnode.ID) {
	if o := m.owners[entry]; o != nil && o.retiring {
		o.retiring, o.reportNow = false, true
		m.sendDueReports(now)
	}
}

// RunsOf returns the number of active runs that an entry has ordered.
func (m *Manager) RunsOf(entry ccnode.ID) int {
	n := 0
	for _, r := range m.runList {
		if r.owner.ID == entry {
			n++
		}
	}
	return n
}

// Connected reports whether a session with the entry is open.
func (m *Manager) Connected(entry ccnode.ID) bool {
	o := m.owners[entry]
	return o != nil && o.connected
}

// Resumed records that the process was suspended for a time that the clock passed to
// the manager does not include: the entries have been silent for longer than it shows,
// so all of them are treated as timed out. It must be called before what was received
// meanwhile is processed. The sessions that are about to open are refused, since their
// requests are older than they seem.
func (m *Manager) Resumed(now time.Time) {
	for id, request := range m.requests {
		request.opened = true
		m.requests[id] = request
	}
	m.actions.Changes = append(m.actions.Changes, Change{Message: "Process was paused.", Count: len(m.runList)})
	for _, o := range m.ownerList {
		o.lastHeard, o.lastMessage = now.Add(-2*OwnerTimeout), time.Time{}
	}
	m.expireSilentOwners(now)
}

// expireSilentOwners stops the runs of entries that have been silent for longer than
// OwnerTimeout, and closes sessions that have been silent for longer than
// sessionTimeout.
func (m *Manager) expireSilentOwners(now time.Time) {
	for _, o := range m.ownerList {
		id := o.ref.ID
		age := now.Sub(o.lastHeard)
		if age > OwnerTimeout {
			m.stopOwnedRunsAged(now, o.ref, "entry is silent", age)
		}
		if o.connected && age > o.silenceLimit(now) {
			m.actions.CloseSessions = append(m.actions.CloseSessions, id)
			m.SessionClosed(id)
		}
	}
}

// silenceLimit returns how old the entry's echo may be before its session is closed. An entry whose
// orders arrive is there: the agent's reports wait on its link, and a new session would add to what
// waits there.
func (o *owner) silenceLimit(now time.Time) time.Duration {
	if now.Sub(o.lastMessage) <= maxOrdersGap {
		return oldEchoTimeout
	}
	return sessionTimeout
}

func (m *Manager) stopOwnedRuns(now time.Time, entry ccnode.Ref, reason string) {
	m.stopOwnedRunsAged(now, entry, reason, 0)
}

func (m *Manager) stopOwnedRunsAged(now time.Time, entry ccnode.Ref, reason string, age time.Duration) {
	n := 0
	for _, r := range m.runList {
		if r.owner == entry && r.stopRequestedAt.IsZero() {
			m.stopRun(now, r)
			n++
		}
	}
	if n > 0 {
		m.actions.Changes = append(m.actions.Changes, Change{Message: "Runs stopped.", Entry: entry.ID, Reason: reason, Age: age, Count: n})
	}
}
