package ccproof

import (
	"strings"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

// setupFunc brings a world into a state that random steps rarely reach, from which
// a schedule continues at random.
type setupFunc func(w *world)

// addJobWithAuthority adds a job of one task whose authority is the given entry
// according to user's roster.
func (w *world) addJobWithAuthority(authority, user *entry) ccjob.Spec {
	for n := range 0x1000 {
		id := jobIDAt(w.now, n)
		if owner, _ := user.roster.Authority(ccroster.SlotOf(id)); owner.Ref == authority.ref {
			spec := ccjob.Spec{ID: id, Service: service, Team: "t", Deadline: 8 * time.Second, Payloads: make([]string, 1)}
			w.jobs = append(w.jobs, spec)
			return spec
		}
	}
	panic("no job ID has this authority")
}

// delayMatching delays the messages in flight whose label contains the text.
func (w *world) delayMatching(text string) {
	for i := range w.inFlight {
		if strings.Contains(w.inFlight[i].label, text) {
			w.inFlight[i].delayed = true
		}
	}
}

// deliverAll delivers the messages that aren't delayed.
func (w *world) deliverAll() { w.deliverNext(maxInFlight) }

// reconnectAll reconnects all entries and agents, so that no first dispatch is
// bounced because its echo is old.
func (w *world) reconnectAll() {
	for _, e := range w.entries {
		e.step(func() {
			for _, a := range w.agents {
				e.connect(a.id)
			}
		})
	}
	w.deliverAll()
}

// deliverAndAdvance advances the clock the given number of times by 60 ms, and
// delivers all messages before each step.
func (w *world) deliverAndAdvance(times int) {
	for range times {
		w.deliverAll()
		w.advance(60 * time.Millisecond)
	}
}

// orphanInFlight restarts entry0 while a dispatch of its task is in flight and
// entry1, the authority, awaits the job. Entry1 has no session to the agent that
// the dispatch goes to.
func orphanInFlight(w *world) {
	w.reconnectAll()
	spec := w.addJobWithAuthority(w.entries[1], w.entries[1])
	w.submitTo(w.entries[0], spec)
	for len(w.inFlight) > 0 && w.entries[0].claims[spec.ID] == 0 {
		w.deliverNext(1)
	}
	for i := range w.inFlight {
		if strings.Contains(w.inFlight[i].label, "dispatch") {
			w.inFlight[i].delayed = true
			w.entries[1].dispatcher.AgentDown(w.now, ccnode.ID(w.inFlight[i].to))
		}
	}
	w.submitTo(w.entries[1], spec)
	w.entries[0].start()
	w.logf("%s started", w.entries[0].ref)
}

// slotsTakenOver has entry2 take over slots from entry0, which doesn't learn of it.
func slotsTakenOver(w *world) {
	w.deliverAndAdvance(10)
	w.entries[0].storeCut = true
	w.entries[2].start()
	for range 40 {
		if w.entries[2].authority.ReadySlots() > 0 {
			break
		}
		w.deliverAndAdvance(1)
	}
	spec := w.addJobWithAuthority(w.entries[2], w.entries[2])
	for {
		if owner, _ := w.entries[0].roster.Authority(ccroster.SlotOf(spec.ID)); owner.Ref == w.entries[0].ref {
			return
		}
		w.now = w.now.Add(time.Millisecond)
		w.jobs = nil
		spec = w.addJobWithAuthority(w.entries[2], w.entries[2])
	}
}

// lateGrant delays the reply by which entry0 grants a claim to entry1. Entry0
// then restarts, and its successor as authority has the job recovered.
func lateGrant(w *world) {
	spec := w.addJobWithAuthority(w.entries[0], w.entries[1])
	w.submitTo(w.entries[1], spec)
	for len(w.inFlight) > 0 && !w.isInFlight("claim answered by entry0") {
		w.deliverNext(1)
	}
	w.delayMatching("claim answered")
	w.entries[0].start()
	w.logf("%s started", w.entries[0].ref)
	w.submitTo(w.entries[2], spec)
	for range 25 {
		for range maxInFlight {
			w.delayMatching("claim from entry1")
			w.deliverNext(1)
		}
		w.advance(60 * time.Millisecond)
	}
}

func (w *world) isInFlight(label string) bool {
	for i := range w.inFlight {
		if w.inFlight[i].label == label {
			return true
		}
	}
	return false
}
