package ccfleet

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/io/ccclient"
)

func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	fleet := New(Config{
		Profile: ccload.Profile{
			Service: "proof",
			Domains: []string{"north", "south"},
			Targets: []ccload.Target{{Domain: "north", Speed: 1, Slots: 2}, {Domain: "south", Speed: 2, Slots: 2}},
		},
		Entries: 2,
		Log:     logr.Discard(),
	})
	if err := fleet.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

func assertComplete(t *testing.T, fleet *Fleet, id ccjob.ID, tasks int) {
	t.Helper()
	assertCompleteAt(t, fleet.EntryAddrs(), id, tasks)
}

func assertCompleteAt(t *testing.T, entries []netip.AddrPort, id ccjob.ID, tasks int) {
	t.Helper()
	client := ccclient.New(ccclient.Config{Entries: entries})
	defer client.Close()
	arrival := ccload.Arrival{Service: "proof", Team: "t", Deadline: time.Minute}
	for range tasks {
		arrival.Tasks = append(arrival.Tasks, 5*time.Millisecond)
	}
	spec := arrival.Spec(id)
	outcome, err := client.Submit(t.Context(), &spec)
	if err != nil || outcome.State != ccjob.StateComplete || len(outcome.Answers) != tasks {
		t.Errorf("job %s: outcome %+v, error %v", id, outcome, err)
	}
}

func assertStarts(t *testing.T, fleet *Fleet, id ccjob.ID, domain string, want bool) {
	t.Helper()
	for _, start := range fleet.Starts() {
		if start.JobID == id && start.Domain == domain {
			if !want {
				t.Errorf("task %d of %s started in %s", start.Index, id, domain)
			}
			return
		}
	}
	if want {
		t.Errorf("no task of %s started in %s", id, domain)
	}
}

// awaitComplete submits new jobs until one is complete. Of the killed entry's
// slots nobody can vouch for jobs that were made before its successors took them
// over, nor for IDs without a time; and what may have started at the killed agent
// is lost.
func awaitComplete(t *testing.T, fleet *Fleet, tasks int) {
	t.Helper()
	client := ccclient.New(ccclient.Config{Entries: fleet.EntryAddrs()})
	defer client.Close()
	arrival := ccload.Arrival{Service: "proof", Team: "t", Deadline: time.Minute, Tasks: make([]time.Duration, tasks)}
	for {
		id, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		spec := arrival.Spec(ccjob.ID(id.String()))
		outcome, err := client.Submit(t.Context(), &spec)
		switch {
		case err != nil:
			t.Fatal(err)
		case outcome.State == ccjob.StateComplete:
			return
		case outcome.Kind != ccjob.KindLost:
			t.Fatalf("outcome %+v", outcome)
		}
	}
}

// waitVersion waits until every entry has the settings version in force.
func waitVersion(t *testing.T, fleet *Fleet, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, addr := range fleet.EntryAddrs() {
		for {
			vars, err := readEntryVars(ctx, addr)
			if err != nil {
				t.Fatal(err)
			}
			if vars.Entry.Version >= version {
				break
			}
		}
	}
}

func apply(t *testing.T, fleet *Fleet, faults ...ccfault.Fault) {
	t.Helper()
	for _, fault := range faults {
		if err := fleet.Apply(t.Context(), fault); err != nil {
			t.Fatalf("%s: %v", fault, err)
		}
	}
}

func TestFleet(t *testing.T) {
	t.Run("runsAJobAtAllTargets", func(t *testing.T) {
		fleet := newTestFleet(t)
		assertComplete(t, fleet, "j", 40)
		assertStarts(t, fleet, "j", "north", true)
		assertStarts(t, fleet, "j", "south", true)
		if messages := fleet.Messages(t.Context()); messages.Sent < 40 {
			t.Errorf("messages are %+v, want at least 40 tasks sent", messages)
		}
		if kinds := fmt.Sprint(fleet.Events()); len(kinds) == 0 {
			t.Error("no process recorded anything")
		}
	})
	t.Run("goesOnWithoutADomain", func(t *testing.T) {
		fleet := newTestFleet(t)
		apply(t, fleet, ccfault.Fault{Kind: ccfault.KindDomainOut, Domain: "south"})
		waitVersion(t, fleet, 2)
		assertComplete(t, fleet, "out", 20)
		assertStarts(t, fleet, "out", "south", false)
		apply(t, fleet, ccfault.Fault{Kind: ccfault.KindDomainIn, Domain: "south"})
		waitVersion(t, fleet, 3)
		assertComplete(t, fleet, "in", 100)
		assertStarts(t, fleet, "in", "south", true)
	})
	t.Run("restartsWhatWasKilled", func(t *testing.T) {
		fleet := newTestFleet(t)
		apply(t, fleet, ccfault.Fault{Kind: ccfault.KindKillAgent}, ccfault.Fault{Kind: ccfault.KindKillEntry, Index: 1})
		assertComplete(t, fleet, "fewer", 4)
		apply(t, fleet, ccfault.Fault{Kind: ccfault.KindStartAgent}, ccfault.Fault{Kind: ccfault.KindStartEntry, Index: 1})
		if err := fleet.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		awaitComplete(t, fleet, 4)
	})
	t.Run("refusesWhatDoesNotExist", func(t *testing.T) {
		fleet := newTestFleet(t)
		for _, fault := range []ccfault.Fault{
			{Kind: ccfault.KindKillAgent, Index: 2},
			{Kind: ccfault.KindKillEntry, Index: 2},
			{Kind: ccfault.KindDomainOut, Domain: "west"},
		} {
			if err := fleet.Apply(t.Context(), fault); err == nil {
				t.Errorf("%s was accepted", fault)
			}
		}
	})
}

func TestSplitKey(t *testing.T) {
	if job, index := splitKey("j/7"); job != "j" || index != 7 {
		t.Errorf("the key is of job %s, index %d", job, index)
	}
	if _, index := splitKey("j"); index != ccevent.NoIndex {
		t.Errorf("the index of a key without one is %d", index)
	}
}
