package ccentry_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccfleet"
)

// TestSubset bounds each entry to about half of the agents. Work must reach all
// agents, and a job whose entry was killed must be recovered by an entry that
// doesn't use all of its agents.
func TestSubset(t *testing.T) {
	fleet := ccfleet.New(ccfleet.Config{
		Profile: ccload.Profile{
			Service: "s", Domains: []string{"north"},
			Targets: []ccload.Target{
				{Domain: "north", Speed: 1, Slots: 4},
				{Domain: "north", Speed: 1, Slots: 4},
				{Domain: "north", Speed: 1, Slots: 4},
				{Domain: "north", Speed: 1, Slots: 4},
				{Domain: "north", Speed: 1, Slots: 4},
				{Domain: "north", Speed: 1, Slots: 4},
			},
		},
		Service: func(s *ccsettings.Service) { s.SubsetTargets = 3 },
		Entries: 4,
		Log:     logr.Discard(),
	})
	if err := fleet.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	// Jobs older than an agent's memory can't be recovered.
	time.Sleep(3 * time.Second)

	var specs []ccjob.Spec
	for range 30 {
		specs = append(specs, newSpec(t, 2, 200*time.Millisecond))
	}
	addrs := fleet.EntryAddrs()
	first := submitAll(t.Context(), addrs[0], specs[:15])
	other := submitAll(t.Context(), addrs[1], specs[15:])
	awaitStarts(t, fleet, 20)
	apply(t, fleet, ccfault.Fault{Kind: ccfault.KindKillEntry, Index: 0})
	<-first
	outcomes := <-submitAll(t.Context(), addrs[2], specs[:15])
	outcomes = append(outcomes, <-other...)
	assertOnce(t, fleet, specs, outcomes)
	if got := countComplete(outcomes); got != len(specs) {
		t.Errorf("%d of %d jobs are complete: %+v", got, len(specs), outcomes)
	}
	used := make(map[int]bool)
	for _, start := range fleet.Starts() {
		used[start.Target] = true
	}
	if len(used) != 6 {
		t.Errorf("%d of 6 targets were used", len(used))
	}
}
