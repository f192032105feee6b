package ccagent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	cellio "camphorcroft/io/cccell"
	"camphorcroft/io/ccrpc"
)

const (
	// enrollDelay is the first delay between tries to learn the settings.
	enrollDelay = 200 * time.Millisecond
	// maxEnrollDelay bounds that delay.
	maxEnrollDelay = 5 * time.Second
	// disbandDelay is how long a lead serves a cell that it has left, so that the
	// members learn why.
	disbandDelay = 5 * time.Second
	// tellLimit bounds how long a graceful stop waits for its cell.
	tellLimit = 2 * time.Second
)

// cells is this agent's part in cells. The control goroutine owns it.
type cells struct {
	own     *cellio.Runner
	old     *cellio.Runner // A cell that is being given up, or nil.
	oldEnds time.Time
	watch   context.CancelFunc          // Ends the watch of the settings. Nil while not leading.
	leads   map[int]cccell.LeaderRecord // As seen when the agent enrolled; used once.
	told    chan struct{}               // Closed when the cell knows of the leave.
}

// enroll learns the settings from a lead or, without one, from the store, and
// then joins the cell.
func (a *Agent) enroll() {
	for delay := enrollDelay; a.ctx.Err() == nil; delay = min(2*delay, maxEnrollDelay) {
		if first, err := a.firstView(); err == nil {
			a.post(func(now time.Time) {
				a.cells.leads = first.Leaders
				a.setView(now, first.View)
			})
			return
		}
		a.sleep(delay/2 + rand.N(delay))
	}
}

func (a *Agent) firstView() (cellio.Enrollment, error) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	enrolled, err := cellio.Enroll(ctx, a.cfg.Store, a.cfg.Node, a.stats.storeCalls)
	if err == nil {
		return enrolled, nil
	}
	a.log.V(1).Info("No lead gave the settings.", "reason", err.Error())
	view, err := a.readSettings(ctx)
	return cellio.Enrollment{View: view}, err
}

// setView puts a settings version into force, unless a newer one is.
func (a *Agent) setView(now time.Time, view *ccsettings.AgentView) {
	if !a.table.SetView(now, view) {
		return
	}
	a.log.Info("Settings are in force.", "version", view.Version)
	if a.cfg.OnSettings != nil {
		a.cfg.OnSettings(view)
	}
	cell := cccell.ForNode(a.cfg.Node.ID, view.Fleet.Cells)
	if a.cells.own == nil || a.cells.own.Machine().Cell() != cell {
		a.openCell(now, cell, view)
	}
	a.cells.own.Machine().SetView(view)
	a.cells.own.Machine().SetSlots(now, a.table.Slots())
	if a.cells.old != nil {
		a.cells.old.Machine().SetView(view)
	}
}

// openCell joins a cell. A lead goes on serving the cell that it leaves for a
// while.
func (a *Agent) openCell(now time.Time, cell int, view *ccsettings.AgentView) {
	if a.cells.old != nil {
		a.cells.old.Close()
		a.cells.old = nil
	}
	if before := a.cells.own; before != nil && before.Machine().Leading() {
		a.cells.old, a.cells.oldEnds = before, now.Add(disbandDelay)
	} else if before != nil {
		before.Close()
	}
	member := a.member(a.table.Leaving())
	var lead *cccell.LeaderRecord
	if known, ok := a.cells.leads[cell]; ok {
		lead = &known
	}
	a.cells.leads = nil
	a.cells.own = cellio.NewRunner(cellio.Config{
		Cell: cell, Self: member, View: view, Leader: lead, Store: a.cfg.Store, Log: a.cfg.Log, Ring: a.ring,
		Context: a.ctx, Post: a.post, Go: a.goRun, OnView: a.setView,
		BytesIn: a.stats.controlBytesIn, BytesOut: a.stats.controlBytesOut, StoreCalls: a.stats.storeCalls,
	}, now)
}

// stepCells does what is due for the cells after each step.
func (a *Agent) stepCells(now time.Time) {
	if a.cells.own == nil {
		return
	}
	a.cells.own.Step(now)
	a.cells.own.Machine().ConfirmView(a.reader.LastCurrent())
	a.table.ConfirmView(a.cells.own.Machine().ViewConfirmedAt())
	a.stepOldCell(now)
	a.countCell()
	a.watchWhileLeading()
	if a.table.SettingsOutdated() {
		a.cells.own.Machine().HeartbeatNow(now)
	}
	if a.cells.told != nil && a.cells.own.Machine().LeaveDone() {
		close(a.cells.told)
		a.cells.told = nil
	}
}

// countCell shows the cell in the metrics.
func (a *Agent) countCell() {
	machine := a.cells.own.Machine()
	a.stats.cell.Set(int64(machine.Cell()))
	a.stats.cellTerm.Set(int64(machine.Term()))
	leads := int64(0)
	if machine.Leading() {
		leads = 1
	}
	a.stats.cellLeads.Set(leads)
}

func (a *Agent) stepOldCell(now time.Time) {
	old := a.cells.old
	if old == nil {
		return
	}
	if !a.cells.oldEnds.IsZero() && now.After(a.cells.oldEnds) {
		old.Machine().Disband(now)
		a.cells.oldEnds = time.Time{}
	}
	old.Step(now)
	if a.cells.oldEnds.IsZero() && (old.Machine().LeaveDone() || !old.Machine().Leading()) {
		old.Close()
		a.cells.old = nil
	}
}

// watchWhileLeading watches the settings in the store as long as this agent
// leads a cell.
func (a *Agent) watchWhileLeading() {
	leading := a.cells.own.Machine().Leading()
	switch {
	case leading && a.cells.watch == nil:
		ctx, cancel := context.WithCancel(a.ctx)
		a.cells.watch = cancel
		a.goRun(func() { a.watchSettings(ctx) })
	case !leading && a.cells.watch != nil:
		a.cells.watch()
		a.cells.watch = nil
	}
}

// tellCell makes the leave known, and waits for a short time until it is.
func (a *Agent) tellCell(ctx context.Context, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	told := make(chan struct{})
	a.post(func(now time.Time) {
		if a.cells.own == nil {
			close(told)
			return
		}
		a.cells.told = told
		a.cells.own.Machine().Leave(now, gone)
	})
	select {
	case <-told:
	case <-ctx.Done():
	case <-a.ctx.Done():
	}
}

// cell returns the runner that answers for the cell: that of the cell itself or
// else, for an agent that enrolls, this agent's own.
func (a *Agent) cell(number int) *cellio.Runner {
	if old := a.cells.old; old != nil && old.Machine().Cell() == number {
		return old
	}
	return a.cells.own
}

// serveCell answers a member's request.
func (a *Agent) serveCell(peer *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	head := readCellHead(params)
	a.post(func(now time.Time) {
		l := a.link(peer)
		switch {
		case method == ccwire.MethodJoin:
			l.member = cellio.Sender{Cell: head.Cell, Node: head.Member.Node}
		case head.Node == (ccnode.Ref{}):
			head.Cell = l.member.Cell
		}
		runner := a.cell(head.Cell)
		if runner == nil {
			l.reply(reply, ccwire.HeartbeatReply{UnknownMember: true}, nil)
			return
		}
		result, err := runner.Handle(now, l.member, method, params)
		l.reply(reply, result, err)
	})
}

// announced takes the notification of a new lead.
func (a *Agent) announced(params json.RawMessage) {
	head := readCellHead(params)
	a.post(func(now time.Time) {
		if runner := a.cell(head.Cell); runner != nil {
			runner.HandleAnnouncement(now, params)
		}
	})
}

// cellHead is what the messages between agents say of cell and sender.
type cellHead struct {
	Cell   int        `json:"cell"`
	Node   ccnode.Ref `json:"node"`
	Member struct {
		Node ccnode.Ref `json:"node"`
	} `json:"member"` // Of a join.
}

func readCellHead(params json.RawMessage) cellHead {
	var head cellHead
	_ = json.Unmarshal(params, &head) // A message that can't be read is refused later.
	return head
}

// sleep waits, or returns early when the agent closes.
func (a *Agent) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
}
