package ccproof

import (
	"strings"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
)

// opening brings a world into a state that chance rarely finds, from which a
// schedule goes on by chance.
type opening func(w *world)

// jobOf makes a job of one task whose authority is the given entry under the roster that
// another one uses.
func (w *world) jobOf(authority, user *entry) ccjob.Spec {
	for n := range 0x1000 {
		id := jobAt(w.now, n)
		if owner, _ := user.roster.Authority(ccroster.SlotOf(id)); owner.Ref == authority.ref {
			spec := ccjob.Spec{ID: id, Service: service, Team: "t", Deadline: 8 * time.Second, Payloads: make([]string, 1)}
			w.jobs = append(w.jobs, spec)
			return spec
		}
	}
	panic("no such job")
}

// hold delays the messages under way whose label has the text.
func (w *world) hold(text string) {
	for i := range w.flights {
		if strings.Contains(w.flights[i].label, text) {
			w.flights[i].held = true
		}
	}
}

// deliverAll lets the messages that aren't delayed arrive.
func (w *world) deliverAll() { w.settle(maxFlight) }

// freshen connects all entries and agents anew, so that no first dispatch comes
// back for its old echo.
func (w *world) freshen() {
	for _, e := range w.entries {
		e.step(func() {
			for _, a := range w.agents {
				e.connect(a.id)
			}
		})
	}
	w.deliverAll()
}

// wait lets so many times 60 ms pass, with all messages arriving.
func (w *world) wait(times int) {
	for range times {
		w.deliverAll()
		w.advance(60 * time.Millisecond)
	}
}

// orphanInFlight: entry0's task is on its way when it restarts, and entry1, the
// authority, awaits its job. To the agent that the task goes to, entry1 has no
// session.
func orphanInFlight(w *world) {
	w.freshen()
	spec := w.jobOf(w.entries[1], w.entries[1])
	w.submitTo(w.entries[0], spec)
	for len(w.flights) > 0 && w.entries[0].claims[spec.ID] == 0 {
		w.settle(1)
	}
	for i := range w.flights {
		if strings.Contains(w.flights[i].label, "dispatch") {
			w.flights[i].held = true
			w.entries[1].dispatcher.AgentDown(w.now, ccnode.ID(w.flights[i].to))
		}
	}
	w.submitTo(w.entries[1], spec)
	w.entries[0].start()
	w.note("%s started", w.entries[0].ref)
}

// handedOn: entry2 has taken slots over from entry0, which doesn't know.
func handedOn(w *world) {
	w.wait(10)
	w.entries[0].cut = true
	w.entries[2].start()
	for range 40 {
		if w.entries[2].authority.ReadySlots() > 0 {
			break
		}
		w.wait(1)
	}
	spec := w.jobOf(w.entries[2], w.entries[2])
	for {
		if owner, _ := w.entries[0].roster.Authority(ccroster.SlotOf(spec.ID)); owner.Ref == w.entries[0].ref {
			return
		}
		w.now = w.now.Add(time.Millisecond)
		w.jobs = nil
		spec = w.jobOf(w.entries[2], w.entries[2])
	}
}

// lateGrant: entry0 granted a claim to entry1, and the answer is still on its
// way; entry0 is lost, and its successor has had the job recovered.
func lateGrant(w *world) {
	spec := w.jobOf(w.entries[0], w.entries[1])
	w.submitTo(w.entries[1], spec)
	for len(w.flights) > 0 && !w.underWay("claim answered by entry0") {
		w.settle(1)
	}
	w.hold("claim answered")
	w.entries[0].start()
	w.note("%s started", w.entries[0].ref)
	w.submitTo(w.entries[2], spec)
	for range 25 {
		for range maxFlight {
			w.hold("claim from entry1")
			w.settle(1)
		}
		w.advance(60 * time.Millisecond)
	}
}

func (w *world) underWay(label string) bool {
	for i := range w.flights {
		if w.flights[i].label == label {
			return true
		}
	}
	return false
}
