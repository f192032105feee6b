package cccell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// eachSeed runs the test with several fixed seeds and checks that the terms of the
// written records never decrease.
func eachSeed(t *testing.T, name string, size int, test func(t *testing.T, sim *simulation)) {
	t.Run(name, func(t *testing.T) {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				sim := newSimulation(t, seed, size)
				test(t, sim)
				if !slices.IsSorted(sim.store.writtenTerms) {
					t.Errorf("terms decreased: %v", sim.store.writtenTerms)
				}
			})
		}
	})
}

func assertDeparted(t *testing.T, sim *simulation, node ccnode.Ref) {
	t.Helper()
	for _, departure := range sim.store.record().Departed {
		if departure.Node == node {
			return
		}
	}
	t.Errorf("%s is not listed as departed: %+v", node, sim.store.record().Departed)
}

func TestElection(t *testing.T) {
	eachSeed(t, "agents elect one leader", 11, func(_ *testing.T, sim *simulation) {
		sim.waitStable(5 * time.Second)
	})
	eachSeed(t, "a single agent leads its cell", 1, func(_ *testing.T, sim *simulation) {
		sim.waitStable(5 * time.Second)
	})
	eachSeed(t, "a dead leader is replaced", 11, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		before := sim.nodes[leader].ref
		sim.kill(leader)
		sim.waitStable(8 * time.Second)
		assertDeparted(t, sim, before)
	})
	eachSeed(t, "a leader that restarts rejoins", 5, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		before := sim.nodes[leader].ref
		sim.restart(leader)
		sim.waitStable(15 * time.Second)
		assertDeparted(t, sim, before)
	})
	eachSeed(t, "two candidates race and one wins", 2, func(t *testing.T, sim *simulation) {
		for _, n := range sim.nodes {
			n.HandleRead(sim.now, StoreState{})
			n.follower.campaignNow = true
		}
		sim.run(100 * time.Millisecond)
		if holders := sim.leaseHolders(); len(holders) != 1 {
			t.Fatalf("lease holders are %v, want one", holders)
		}
		sim.waitStable(5 * time.Second)
	})
	eachSeed(t, "a winning swap whose reply is lost is read back", 3, func(t *testing.T, sim *simulation) {
		sim.store.loseReplies = 1
		sim.waitStable(5 * time.Second)
		if got := sim.store.record().Term; got != 1 {
			t.Errorf("the term is %d after one election", got)
		}
	})
	eachSeed(t, "a swap whose reply is lost is not repeated", 1, func(t *testing.T, sim *simulation) {
		sim.store.loseReplies = 1
		sim.waitStable(5 * time.Second)
		if sim.store.lastLease != 1 {
			t.Errorf("%d leases were granted for one election", sim.store.lastLease)
		}
	})
	eachSeed(t, "record writes whose replies are lost are read back", 3, func(_ *testing.T, sim *simulation) {
		sim.waitStable(5 * time.Second)
		sim.store.loseReplies = 3
		sim.restart(0)
		sim.restart(1)
		sim.waitStable(15 * time.Second)
	})
}

func TestPausedLeader(t *testing.T) {
	eachSeed(t, "a leader paused past its lease stops acting", 7, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.nodes[leader].paused = true
		next := sim.waitStable(20 * time.Second)
		written := len(sim.store.writtenTerms)
		sim.resume(leader)
		if sim.nodes[leader].HoldsLease(sim.now) {
			t.Error("the paused leader still reports that it holds its lease")
		}
		if actions := sim.nodes[leader].Next(sim.now); slices.ContainsFunc(actions, func(a Action) bool { return a.Op == OpWrite }) {
			t.Error("the paused leader writes the record")
		}
		sim.nodes[leader].storeBusy = false
		if got := sim.waitStable(10 * time.Second); got != next {
			t.Errorf("the leader is node %d, want node %d", got, next)
		}
		for _, term := range sim.store.writtenTerms[written:] {
			if term < sim.store.writtenTerms[written-1] {
				t.Errorf("terms decreased: %v", sim.store.writtenTerms)
			}
		}
	})
	eachSeed(t, "a short pause of the leader removes no member", 7, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.nodes[leader].paused = true
		sim.run(2 * time.Second)
		sim.resume(leader)
		sim.run(2 * time.Second)
		sim.waitStable(10 * time.Second)
		if departed := sim.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	eachSeed(t, "membership stays and versions still spread", 7, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		before := string(sim.store.recordData)
		sim.store.down = true
		sim.run(10 * time.Second)
		sim.nodes[leader].SetView(testView(9))
		sim.run(20 * time.Second)
		if string(sim.store.recordData) != before {
			t.Error("the record changed during the outage")
		}
		for i, n := range sim.nodes {
			if !n.Joined() || n.Version() != 9 {
				t.Errorf("node %d: joined %t, version %d", i, n.Joined(), n.Version())
			}
		}
		sim.store.down = false
		sim.waitStable(10 * time.Second)
		if departed := sim.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
	eachSeed(t, "a leader that is paused during the outage removes no member", 7, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.store.down = true
		sim.run(time.Second)
		sim.nodes[leader].paused = true
		sim.run(8 * time.Second)
		sim.store.down = false
		sim.resume(leader)
		sim.waitStable(10 * time.Second)
		if departed := sim.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
	eachSeed(t, "a leader that dies during the outage is replaced after it", 7, func(_ *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.store.down = true
		sim.run(time.Second)
		sim.kill(leader)
		sim.run(20 * time.Second)
		sim.store.down = false
		sim.waitStable(20 * time.Second)
	})
}

func TestRestartWave(t *testing.T) {
	eachSeed(t, "a quarter of the members restarts", 64, func(t *testing.T, sim *simulation) {
		sim.waitStable(10 * time.Second)
		writes := sim.store.writes
		var before []ccnode.Ref
		for i := range 16 {
			before = append(before, sim.nodes[i].ref)
			sim.restart(i)
		}
		sim.waitStable(15 * time.Second)
		for _, ref := range before {
			assertDeparted(t, sim, ref)
		}
		if got := sim.store.writes - writes; got > 60 {
			t.Errorf("the restarts cost %d store writes, want at most 60", got)
		}
		sim.run(testRetention + 5*time.Second)
		if departed := sim.store.record().Departed; len(departed) != 0 {
			t.Errorf("%d departures are listed past the retention", len(departed))
		}
	})
}

func TestLeave(t *testing.T) {
	leave := func(t *testing.T, sim *simulation, i int) {
		t.Helper()
		n := sim.nodes[i]
		n.Leave(sim.now, false)
		sim.run(2 * time.Second)
		if !n.LeaveDone() {
			t.Fatal("the leave is not done")
		}
		if !slices.ContainsFunc(sim.store.record().Members, func(m ccwire.Member) bool { return m.Node == n.ref && m.Leaving }) {
			t.Fatalf("the record doesn't list the member as leaving: %+v", sim.store.record())
		}
		n.Leave(sim.now, true)
		sim.run(2 * time.Second)
		if !n.LeaveDone() {
			t.Fatal("the exit is not done")
		}
		sim.kill(i)
		sim.waitStable(5 * time.Second)
		assertDeparted(t, sim, n.ref)
	}
	eachSeed(t, "a member leaves", 5, func(t *testing.T, sim *simulation) {
		leave(t, sim, (sim.waitStable(5*time.Second)+1)%5)
	})
	eachSeed(t, "a leader leaves and is replaced without waiting for its lease", 5, func(t *testing.T, sim *simulation) {
		leave(t, sim, sim.waitStable(5*time.Second))
	})
}

func TestVersions(t *testing.T) {
	eachSeed(t, "spread by heartbeat, are sent once, and never go back", 16, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.nodes[leader].SetView(testView(7))
		sim.run(heartbeatInterval * 3 / 2)
		for i, n := range sim.nodes {
			if n.Version() != 7 {
				t.Errorf("node %d has version %d", i, n.Version())
			}
			n.SetView(testView(6))
			if n.Version() != 7 {
				t.Errorf("node %d went back to version %d", i, n.Version())
			}
			heartbeat := ccwire.Heartbeat{Node: n.ref, Version: 7}
			if reply := sim.nodes[leader].HandleHeartbeat(sim.now, heartbeat); reply.View != nil {
				t.Errorf("node %d was sent version 7 again", i)
			}
		}
	})
	eachSeed(t, "a leader confirms its view only while it knows that it is the newest", 4, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		member := sim.nodes[(leader+1)%4]
		sim.run(2 * time.Second)
		if age := sim.now.Sub(member.ViewConfirmedAt()); age > heartbeatInterval*5/4 {
			t.Errorf("the view was confirmed %s ago", age)
		}
		sim.settingsWatchDown = true
		sim.run(10 * time.Second)
		if age := sim.now.Sub(member.ViewConfirmedAt()); age < 10*time.Second-maxViewAge {
			t.Errorf("the view was confirmed %s ago, although the leader could not confirm it", age)
		}
	})
	eachSeed(t, "a member that learns of a newer version requests it immediately", 4, func(t *testing.T, sim *simulation) {
		leader := sim.waitStable(5 * time.Second)
		sim.run(heartbeatInterval * 2)
		sim.nodes[leader].SetView(testView(7))
		member := sim.nodes[(leader+1)%4]
		member.HeartbeatNow(sim.now)
		sim.run(4 * step)
		if member.Version() != 7 {
			t.Errorf("the member has version %d", member.Version())
		}
	})
}
