package ccagent

import (
	"encoding/json"
	"testing"
	"time"

	"camphorcroft/core/cccell"
	"camphorcroft/core/ccsettings"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/ccstandin"
)

// ask has the agent's control goroutine answer a question.
func ask[T any](a *Agent, question func() T) T {
	answer := make(chan T, 1)
	a.post(func(time.Time) { answer <- question() })
	select {
	case got := <-answer:
		return got
	case <-a.ctx.Done():
		var none T
		return none
	}
}

func leads(a *Agent) bool {
	return ask(a, func() bool { return a.cells.own != nil && a.cells.own.Machine().HoldsLease(time.Now()) })
}

func version(a *Agent) uint64 { return ask(a, a.table.Version) }

// await waits until the condition holds. The test's own time limit ends it.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	t.Logf("waiting until %s", what)
	for !met() {
		time.Sleep(5 * time.Millisecond)
	}
}

func readRecord(t *testing.T, store *ccstandin.Store) ccwire.CellRecord {
	t.Helper()
	item, _ := store.Get(t.Context(), "cells/0")
	var record ccwire.CellRecord
	_ = json.Unmarshal(item.Value, &record)
	return record
}

// awaitCell waits until the record lists exactly these agents and one of them
// leads, and returns that one.
func awaitCell(t *testing.T, store *ccstandin.Store, agents ...*Agent) *Agent {
	t.Helper()
	var lead *Agent
	await(t, "the cell is whole", func() bool {
		record := readRecord(t, store)
		listed := make(map[string]bool)
		for _, m := range record.Members {
			listed[m.Node.String()] = true
		}
		lead = nil
		for _, a := range agents {
			if !listed[a.Ref().String()] {
				return false
			}
			if record.Leader == a.Ref() && leads(a) {
				lead = a
			}
		}
		return lead != nil && len(record.Members) == len(agents)
	})
	return lead
}

func others(agents []*Agent, without *Agent) []*Agent {
	var rest []*Agent
	for _, a := range agents {
		if a != without {
			rest = append(rest, a)
		}
	}
	return rest
}

func testView(version uint64, cells int) *ccsettings.AgentView {
	fleet := ccsettings.DefaultFleet()
	fleet.Cells = cells
	return &ccsettings.AgentView{Version: version, Fleet: fleet}
}

func TestCell(t *testing.T) {
	t.Parallel()
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	var agents []*Agent
	for _, id := range []string{"agent-1", "agent-2", "agent-3", "agent-4"} {
		agent, _ := startAgentAs(t, store, id)
		agents = append(agents, agent)
	}
	lead := awaitCell(t, store, agents...)

	// A version that operators accept reaches all.
	putHead(t, store, 5, 0, "fleet: {cells: 1}")
	for _, a := range agents {
		await(t, "the accepted version is in force", func() bool { return version(a) == 5 })
	}

	// A version that the lead has reaches all, also while the store is down.
	if err := store.SetFaults(ccstandin.StoreFaults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	lead.post(func(now time.Time) { lead.setView(now, testView(7, 1)) })
	for _, a := range agents {
		await(t, "the version is in force", func() bool { return version(a) == 7 })
	}
	if err := store.SetFaults(ccstandin.StoreFaults{}); err != nil {
		t.Fatal(err)
	}
	lead = awaitCell(t, store, agents...)

	// A lead that crashes is replaced and listed as departed.
	lead.Kill()
	agents = others(agents, lead)
	next := awaitCell(t, store, agents...)
	if departed := readRecord(t, store).Departed; len(departed) != 1 || departed[0].Node != lead.Ref() {
		t.Errorf("departed: %+v", departed)
	}

	// So is a lead that leaves gracefully.
	if err := next.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	agents = others(agents, next)
	last := awaitCell(t, store, agents...)

	// An agent that comes back gets the version from the lead, not from the store.
	again, _ := startAgentAs(t, store, string(next.Ref().ID))
	agents = append(agents, again)
	awaitCell(t, store, agents...)
	if got := version(again); got != 7 {
		t.Errorf("the agent that came back has version %d", got)
	}
	if last.stats.controlBytesIn.Value() == 0 || last.stats.controlBytesOut.Value() == 0 || last.stats.storeCalls.Value() == 0 {
		t.Error("control bytes or store calls are not counted")
	}
}

func TestCellsChange(t *testing.T) {
	t.Parallel()
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	agent, _ := startAgentAs(t, store, "agent-1")
	awaitCell(t, store, agent)
	cells := 2
	for ; cells < 100; cells++ {
		if testCell(agent, cells) != 0 {
			break
		}
	}
	agent.post(func(now time.Time) { agent.setView(now, testView(7, cells)) })
	await(t, "the agent has joined its new cell", func() bool {
		return ask(agent, func() bool {
			return agent.cells.own.Machine().Cell() == testCell(agent, cells) && agent.cells.own.Machine().Joined()
		})
	})
	await(t, "the old record lists nobody", func() bool { return len(readRecord(t, store).Members) == 0 })
}

func testCell(a *Agent, cells int) int { return cccell.ForNode(a.Ref().ID, cells) }

func TestHeartbeatWithoutJoin(t *testing.T) {
	t.Parallel()
	store := ccstandin.NewStore(ccstandin.StoreConfig{})
	agent, _ := startAgentAs(t, store, "agent-1")
	awaitCell(t, store, agent)
	entry := dialAgent(t, agent)
	var reply ccwire.HeartbeatReply
	if err := entry.peer.Call(t.Context(), ccwire.MethodHeartbeat, ccwire.Heartbeat{Version: 1}, &reply); err != nil {
		t.Fatal(err)
	}
	if !reply.UnknownMember {
		t.Errorf("a heartbeat from nobody was answered with %+v", reply)
	}
}
