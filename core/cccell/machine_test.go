package cccell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// eachSeed runs the test over several fixed seeds and checks that terms grew.
func eachSeed(t *testing.T, name string, size int, test func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				f := newFleet(t, seed, size)
				test(t, f)
				if !slices.IsSorted(f.store.terms) {
					t.Errorf("terms went back: %v", f.store.terms)
				}
			})
		}
	})
}

func assertDeparted(t *testing.T, f *fleet, node ccnode.Ref) {
	t.Helper()
	for _, departure := range f.store.record().Departed {
		if departure.Node == node {
			return
		}
	}
	t.Errorf("%s is not listed as departed: %+v", node, f.store.record().Departed)
}

func TestElection(t *testing.T) {
	eachSeed(t, "agents find one lead", 11, func(_ *testing.T, f *fleet) {
		f.settle(5 * time.Second)
	})
	eachSeed(t, "one agent alone leads itself", 1, func(_ *testing.T, f *fleet) {
		f.settle(5 * time.Second)
	})
	eachSeed(t, "a dead lead is replaced", 11, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		before := f.nodes[lead].ref
		f.kill(lead)
		f.settle(8 * time.Second)
		assertDeparted(t, f, before)
	})
	eachSeed(t, "a lead that restarts takes part again", 5, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		before := f.nodes[lead].ref
		f.restart(lead)
		f.settle(15 * time.Second)
		assertDeparted(t, f, before)
	})
	eachSeed(t, "two candidates race and one wins", 2, func(t *testing.T, f *fleet) {
		for _, n := range f.nodes {
			n.HandleRead(f.now, StoreState{})
			n.follow.standNow = true
		}
		f.run(100 * time.Millisecond)
		if leads := f.leads(); len(leads) != 1 {
			t.Fatalf("leads are %v", leads)
		}
		f.settle(5 * time.Second)
	})
	eachSeed(t, "a lost answer to the winning swap is read back", 3, func(t *testing.T, f *fleet) {
		f.store.lose = 1
		f.settle(5 * time.Second)
		if got := f.store.record().Term; got != 1 {
			t.Errorf("the term is %d after one election", got)
		}
	})
	eachSeed(t, "a swap whose answer was lost is not made again", 1, func(t *testing.T, f *fleet) {
		f.store.lose = 1
		f.settle(5 * time.Second)
		if f.store.next != 1 {
			t.Errorf("%d leases were granted for one election", f.store.next)
		}
	})
	eachSeed(t, "lost answers to record writes are read back", 3, func(_ *testing.T, f *fleet) {
		f.settle(5 * time.Second)
		f.store.lose = 3
		f.restart(0)
		f.restart(1)
		f.settle(15 * time.Second)
	})
}

func TestPausedLead(t *testing.T) {
	eachSeed(t, "a lead paused past its lease stops acting", 7, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.nodes[lead].paused = true
		next := f.settle(20 * time.Second)
		written := len(f.store.terms)
		f.resume(lead)
		if f.nodes[lead].HoldsLease(f.now) {
			t.Error("the paused lead believes that it holds its lease")
		}
		if actions := f.nodes[lead].Next(f.now); slices.ContainsFunc(actions, func(a Action) bool { return a.Op == OpWrite }) {
			t.Error("the paused lead writes")
		}
		f.nodes[lead].storeBusy = false
		if got := f.settle(10 * time.Second); got != next {
			t.Errorf("the lead is %d, want %d", got, next)
		}
		for _, term := range f.store.terms[written:] {
			if term < f.store.terms[written-1] {
				t.Errorf("terms went back: %v", f.store.terms)
			}
		}
	})
	eachSeed(t, "a short pause of the lead drops no member", 7, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.nodes[lead].paused = true
		f.run(2 * time.Second)
		f.resume(lead)
		f.run(2 * time.Second)
		f.settle(10 * time.Second)
		if departed := f.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	eachSeed(t, "membership stays and versions still spread", 7, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		before := string(f.store.value)
		f.store.down = true
		f.run(10 * time.Second)
		f.nodes[lead].SetView(testView(9))
		f.run(20 * time.Second)
		if string(f.store.value) != before {
			t.Error("the record changed during the outage")
		}
		for i, n := range f.nodes {
			if !n.Joined() || n.Version() != 9 {
				t.Errorf("node %d: joined %t, version %d", i, n.Joined(), n.Version())
			}
		}
		f.store.down = false
		f.settle(10 * time.Second)
		if departed := f.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
	eachSeed(t, "a lead that is paused during the outage drops no member", 7, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.store.down = true
		f.run(time.Second)
		f.nodes[lead].paused = true
		f.run(8 * time.Second)
		f.store.down = false
		f.resume(lead)
		f.settle(10 * time.Second)
		if departed := f.store.record().Departed; len(departed) != 0 {
			t.Errorf("departed: %+v", departed)
		}
	})
	eachSeed(t, "a lead that dies during the outage is replaced after it", 7, func(_ *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.store.down = true
		f.run(time.Second)
		f.kill(lead)
		f.run(20 * time.Second)
		f.store.down = false
		f.settle(20 * time.Second)
	})
}

func TestRestartWave(t *testing.T) {
	eachSeed(t, "a quarter of the members restarts", 64, func(t *testing.T, f *fleet) {
		f.settle(10 * time.Second)
		writes := f.store.writes
		var before []ccnode.Ref
		for i := range 16 {
			before = append(before, f.nodes[i].ref)
			f.restart(i)
		}
		f.settle(15 * time.Second)
		for _, ref := range before {
			assertDeparted(t, f, ref)
		}
		if got := f.store.writes - writes; got > 60 {
			t.Errorf("the wave cost %d writes", got)
		}
		f.run(testRetention + 5*time.Second)
		if departed := f.store.record().Departed; len(departed) != 0 {
			t.Errorf("%d departures are listed past the retention", len(departed))
		}
	})
}

func TestLeave(t *testing.T) {
	leave := func(t *testing.T, f *fleet, i int) {
		t.Helper()
		n := f.nodes[i]
		n.Leave(f.now, false)
		f.run(2 * time.Second)
		if !n.LeaveDone() {
			t.Fatal("leaving was not told")
		}
		if !slices.ContainsFunc(f.store.record().Members, func(m ccwire.Member) bool { return m.Node == n.ref && m.Leaving }) {
			t.Fatalf("the record doesn't say so: %+v", f.store.record())
		}
		n.Leave(f.now, true)
		f.run(2 * time.Second)
		if !n.LeaveDone() {
			t.Fatal("the departure was not told")
		}
		f.kill(i)
		f.settle(5 * time.Second)
		assertDeparted(t, f, n.ref)
	}
	eachSeed(t, "a member leaves", 5, func(t *testing.T, f *fleet) {
		leave(t, f, (f.settle(5*time.Second)+1)%5)
	})
	eachSeed(t, "a lead leaves and is replaced without waiting for its lease", 5, func(t *testing.T, f *fleet) {
		leave(t, f, f.settle(5*time.Second))
	})
}

func TestVersions(t *testing.T) {
	eachSeed(t, "spread by heartbeat, are sent once, and never go back", 16, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.nodes[lead].SetView(testView(7))
		f.run(beatInterval * 3 / 2)
		for i, n := range f.nodes {
			if n.Version() != 7 {
				t.Errorf("node %d has version %d", i, n.Version())
			}
			n.SetView(testView(6))
			if n.Version() != 7 {
				t.Errorf("node %d went back to version %d", i, n.Version())
			}
			beat := ccwire.Heartbeat{Node: n.ref, Version: 7}
			if reply := f.nodes[lead].HandleHeartbeat(f.now, beat); reply.View != nil {
				t.Errorf("node %d was sent version 7 again", i)
			}
		}
	})
	eachSeed(t, "a lead vouches for what it knows to be new and no longer", 4, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		member := f.nodes[(lead+1)%4]
		f.run(2 * time.Second)
		if age := f.now.Sub(member.ViewConfirmedAt()); age > beatInterval*5/4 {
			t.Errorf("the view was confirmed %s ago", age)
		}
		f.blind = true
		f.run(10 * time.Second)
		if age := f.now.Sub(member.ViewConfirmedAt()); age < 10*time.Second-currentLimit {
			t.Errorf("the view was confirmed %s ago, without the lead knowing", age)
		}
	})
	eachSeed(t, "a member that hears of a newer one asks at once", 4, func(t *testing.T, f *fleet) {
		lead := f.settle(5 * time.Second)
		f.run(beatInterval * 2)
		f.nodes[lead].SetView(testView(7))
		member := f.nodes[(lead+1)%4]
		member.HeartbeatNow(f.now)
		f.run(4 * step)
		if member.Version() != 7 {
			t.Errorf("the member has version %d", member.Version())
		}
	})
}
