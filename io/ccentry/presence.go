package ccentry

import (
	"time"

	"camphorcroft/core/ccclaim"
	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccoutage"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
)

// presence is the entry's part in the fleet: its place in the roster, the slots
// that it is authority of, and the claims that it seeks. The control goroutine
// owns it; what it asks of the store and of peers comes back as commands.
type presence struct {
	entry       *Entry
	rule        *ccoutage.Quorum
	membership  *ccoutage.Membership
	authority   *ccclaim.Authority
	requester   *ccclaim.Requester
	roster      *ccroster.Roster
	peers       map[ccnode.Ref]*peerLink
	orders      chan storeOrder
	valid       bool
	outage      bool // The entry goes on by its peers' consent.
	leaving     bool
	left        chan struct{} // Closed when the entry is no longer a member.
	asked       time.Time     // When peers were last asked for consent.
	jobMessages uint64        // Messages between entries for the sake of single jobs.
	handover    map[int]bool  // Slots that successors are not yet known to have.

	cells       map[int]*ccwire.CellRecord
	cellsListed time.Time // When the newest whole list of cells was asked for.
	listing     bool
	recovers    map[ccnode.ID]*recoverBatch
}

// newPresence returns the part of an entry that is no member yet.
func newPresence(e *Entry) *presence {
	fleet := ccsettings.DefaultFleet()
	p := &presence{
		entry:    e,
		rule:     ccoutage.NewQuorum(ccoutage.Config{Self: e.self, StoreSeenTTL: ccoutage.DefaultStoreSeenTTL, ConsentTTL: ccoutage.DefaultConsentTTL}),
		roster:   &ccroster.Roster{},
		peers:    make(map[ccnode.Ref]*peerLink),
		orders:   make(chan storeOrder, storeOrders),
		left:     make(chan struct{}),
		cells:    make(map[int]*ccwire.CellRecord),
		recovers: make(map[ccnode.ID]*recoverBatch),
	}
	p.authority = ccclaim.NewAuthority(ccclaim.Config{
		Self:         e.self,
		MaxClaims:    fleet.MaxClaims,
		ClockMargin:  fleet.ClockMargin.Std(),
		GrantTTL:     ccclaim.DefaultGrantTTL,
		MaxDriveTime: driveLife(nil),
		Retention:    fleet.Retention.Std(),
		Guards:       ccclaim.AllGuards(),
	})
	p.requester = ccclaim.NewRequester(ccclaim.RequesterConfig{
		Self:              e.self,
		Authority:         p.authority,
		GrantTTL:          ccclaim.DefaultGrantTTL,
		Retention:         fleet.Retention.Std(),
		ValidUntil:        p.rule.ValidUntil,
		AgentIncarnations: p.lives,
	})
	return p
}

// claim seeks the right to drive the job. It is part of claimer.
func (p *presence) claim(_ *Entry, now time.Time, job *pendingJob) {
	p.requester.ClaimJob(now, &job.spec, job.arrived.Add(job.spec.Deadline))
}

// release gives a claim back. It is part of claimer.
func (p *presence) release(_ *Entry, job *pendingJob) {
	p.requester.JobEnded(job.spec.ID, job.claim, true)
}

// ready is part of claimer.
func (p *presence) ready() bool { return p.valid }

// configure is part of claimer.
func (p *presence) configure(settings *ccsettings.Effective) {
	p.authority.Configure(ccclaim.Limits{
		MaxClaims:    settings.Fleet.MaxClaims,
		ClockMargin:  settings.Fleet.ClockMargin.Std(),
		MaxDriveTime: driveLife(settings),
		Retention:    settings.Fleet.Retention.Std(),
	})
}

// driveLife returns the longest time that a driver may work on a job.
func driveLife(settings *ccsettings.Effective) time.Duration {
	longest := ccsettings.DefaultService().MaxDeadline
	if settings != nil {
		for _, service := range settings.Services {
			longest = max(longest, service.MaxDeadline)
		}
	}
	return longest.Std() + claimSlack
}

// tick is part of claimer.
func (p *presence) tick(now time.Time) {
	p.gather(p.authority.Tick(now))
	p.requester.Tick(now)
	if p.rule.NeedsConsent(now) && now.Sub(p.asked) >= pulseEvery {
		p.ask(now, nil)
	}
	p.handOver(now)
}

// check is part of claimer. Until now is past the lease, or the consent of the
// majority, the entry may grant and send. Once it may not, another may have
// taken over what it drives.
func (p *presence) check(now time.Time) {
	valid := now.Before(p.rule.ValidUntil())
	p.entry.dispatcher.SetSendAllowed(valid)
	p.recordOutage(now)
	if !valid {
		p.entry.dispatcher.MarkMayHaveRun()
	}
	if valid == p.valid {
		return
	}
	p.valid = valid
	event := ccevent.Event{Kind: ccevent.KindLeaseTaken, Index: ccevent.NoIndex}
	if !valid {
		event.Kind = ccevent.KindCutOff
	}
	p.entry.cfg.Ring.Record(now, event)
	p.entry.log.Info("Right to send has changed.", "valid", valid, "epoch", p.roster.Epoch)
}

// Lost is closed when the entry's place in the fleet was taken from it, since it
// was cut off or paused for too long. The entry then takes no more jobs; kill it
// and start another life.
func (e *Entry) Lost() <-chan struct{} { return e.lost }

// ended notes that this life is no longer a member.
func (p *presence) ended(now time.Time) {
	select {
	case <-p.left:
		return
	default:
	}
	close(p.left)
	p.rule.LeaseLost()
	if p.leaving {
		return
	}
	p.entry.log.Info("Entry was removed from the roster.")
	p.entry.cfg.Ring.Record(now, ccevent.Event{Kind: ccevent.KindLeaseLost, Index: ccevent.NoIndex})
	p.entry.unready, p.entry.draining = true, true
	close(p.entry.lost)
}

func (p *presence) outcomeOf(now time.Time, id ccjob.ID) (ccjob.Outcome, uint64, bool) {
	kept, ok := p.entry.answers.Get(now, id)
	return kept.Outcome, kept.Digest, ok
}
