package ccproof

import (
	"fmt"
	"time"

	"camphorcroft/core/cclease"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccreplay"
)

// replayLink is the connection between an agent and an entry. Its session number
// is zero while it is closed.
type replayLink struct {
	session  int
	cutUntil time.Time
}

// instantLinks is a network in which a session opens at once on both sides.
type instantLinks struct{ w *replayWorld }

// sendReport delivers a report unless the session is closed or the link is cut.
func (n *instantLinks) sendReport(a *replayAgent, r cclease.Report) {
	w, e := n.w, n.w.entry(r.To)
	link := a.links[e.ref.ID]
	session, ref := link.session, e.ref
	if w.now.Before(link.cutUntil) || session == 0 {
		return
	}
	w.schedule(w.networkDelay(), func() {
		e.deliver(func() {
			if link.session == session && e.ref == ref {
				e.scheduler.Report(w.now, a.ref.ID, r.Report)
			}
		})
	})
}

// sendOrders delivers orders unless the session is closed or the link is cut.
func (n *instantLinks) sendOrders(e *replayEntry, m ccreplay.Message) {
	w, a := n.w, n.w.agent(m.To)
	link := a.links[e.ref.ID]
	session, ref := link.session, e.ref
	if w.now.Before(link.cutUntil) || session == 0 {
		return
	}
	if w.unnamed {
		for i := range m.Orders.Starts {
			m.Orders.Starts[i].Worker = 0
		}
	}
	w.schedule(w.networkDelay(), func() {
		a.deliver(func() {
			if link.session == session && w.entry(ref.ID).ref == ref {
				a.manager.OrdersReceived(w.now, ref.ID, m.Orders)
			}
		})
	})
}

func (n *instantLinks) closeFromAgent(a *replayAgent, entry ccnode.ID) { n.close(a, n.w.entry(entry)) }

func (n *instantLinks) closeFromEntry(e *replayEntry, agent ccnode.ID) { n.close(n.w.agent(agent), e) }

func (n *instantLinks) agentKilled(a *replayAgent) {
	for _, e := range n.w.entries {
		n.close(a, e)
	}
}

func (n *instantLinks) entryKilled(e *replayEntry) {
	for _, a := range n.w.agents {
		n.close(a, e)
	}
}

// close closes a session. Each side learns of it separately.
func (n *instantLinks) close(a *replayAgent, e *replayEntry) {
	w, link := n.w, a.links[e.ref.ID]
	if link == nil || link.session == 0 {
		return
	}
	link.session = 0
	eRef, aRef := e.ref, a.ref
	w.schedule(w.networkDelay(), func() {
		a.deliver(func() {
			if a.ref == aRef && link.session == 0 {
				a.manager.SessionClosed(eRef.ID)
			}
		})
		e.deliver(func() {
			if e.ref == eRef && link.session == 0 {
				e.scheduler.Detach(w.now, aRef.ID)
			}
		})
	})
}

// reconnect periodically reopens closed sessions whose link and processes are up.
func (w *replayWorld) reconnect() {
	for _, a := range w.agents {
		for _, e := range w.entries {
			link := a.links[e.ref.ID]
			if link == nil || link.session != 0 || w.now.Before(link.cutUntil) || w.now.Before(a.frozenUntil) || w.now.Before(e.frozenUntil) {
				continue
			}
			w.seq++
			session := w.seq
			attach, requested := a.manager.AttachRequest(w.now, a.ref, e.ref, uint64(session))
			if !requested || !e.scheduler.Attach(w.now, attach) {
				w.violation = fmt.Sprintf("session %d of %s and %s was refused", session, a.ref, e.ref)
				return
			}
			link.session = session
			a.manager.RaiseTokenAbove(e.scheduler.PriorToken(a.ref.ID))
			if !a.manager.SessionOpened(w.now, e.ref, attach.Session) {
				w.violation = fmt.Sprintf("reply to session %d of %s and %s was refused", session, a.ref, e.ref)
				return
			}
			a.flush()
			e.flush()
		}
	}
	w.schedule(20*time.Millisecond, w.reconnect)
}
