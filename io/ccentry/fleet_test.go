package ccentry_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
	"camphorcroft/io/ccclient"
	"camphorcroft/io/ccfleet"
)

// newFleet starts three entries and four targets around one stand-in store.
func newFleet(t *testing.T) *ccfleet.Fleet {
	t.Helper()
	return newFleetOf(t, nil)
}

// newFleetOf starts such a fleet with settings for teams.
func newFleetOf(t *testing.T, teams map[string]ccsettings.Team) *ccfleet.Fleet {
	t.Helper()
	fleet := ccfleet.New(ccfleet.Config{
		Teams: teams,
		Profile: ccload.Profile{
			Service: "s",
			Domains: []string{"north", "south"},
			Targets: []ccload.Target{
				{Domain: "north", Speed: 1, Slots: 8},
				{Domain: "north", Speed: 1, Slots: 8},
				{Domain: "south", Speed: 1, Slots: 8},
				{Domain: "south", Speed: 1, Slots: 8},
			},
		},
		Entries: 3,
		Log:     logr.Discard(),
	})
	if err := fleet.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

// newSpec returns a job of the given number of tasks.
func newSpec(t *testing.T, tasks int, run time.Duration) ccjob.Spec {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	arrival := ccload.Arrival{Service: "s", Team: "t", Deadline: time.Minute}
	for range tasks {
		arrival.Tasks = append(arrival.Tasks, run)
	}
	return arrival.Spec(ccjob.ID(id.String()))
}

// submitAt submits to one entry. The outcome is empty when the entry ended.
func submitAt(ctx context.Context, entry netip.AddrPort, spec ccjob.Spec) ccjob.Outcome {
	client := ccclient.New(ccclient.Config{Entries: []netip.AddrPort{entry}})
	defer client.Close()
	outcome, err := client.SubmitOnce(ctx, entry, &spec)
	if err != nil {
		return ccjob.Outcome{}
	}
	return outcome
}

// submitAll submits each job to one entry, all at once.
func submitAll(ctx context.Context, entry netip.AddrPort, specs []ccjob.Spec) <-chan []ccjob.Outcome {
	outcomes := make([]ccjob.Outcome, len(specs))
	var all sync.WaitGroup
	for i := range specs {
		all.Go(func() { outcomes[i] = submitAt(ctx, entry, specs[i]) })
	}
	done := make(chan []ccjob.Outcome, 1)
	go func() {
		all.Wait()
		done <- outcomes
	}()
	return done
}

// assertOnce holds the targets' logs against what clients were told.
func assertOnce(t *testing.T, fleet *ccfleet.Fleet, specs []ccjob.Spec, outcomes []ccjob.Outcome) {
	t.Helper()
	type key struct {
		id    ccjob.ID
		index int
	}
	starts, ran := map[key]int{}, map[ccjob.ID]int{}
	for _, start := range fleet.Starts() {
		starts[key{start.JobID, start.Index}]++
		ran[start.JobID]++
	}
	for task, count := range starts {
		if count > 1 {
			t.Errorf("task %s/%d started %d times", task.id, task.index, count)
		}
	}
	for i, outcome := range outcomes {
		switch {
		case outcome.State == "":
			t.Errorf("job %s has no outcome", specs[i].ID)
		case outcome.NotRun && ran[specs[i].ID] > 0:
			t.Errorf("job %s was said not to run, and %d of its tasks started", specs[i].ID, ran[specs[i].ID])
		case outcome.State == ccjob.StateComplete && (len(outcome.Answers) != len(specs[i].Payloads) || ran[specs[i].ID] != len(specs[i].Payloads)):
			t.Errorf("job %s is complete with %d answers and %d starts", specs[i].ID, len(outcome.Answers), ran[specs[i].ID])
		}
	}
}

func countComplete(outcomes []ccjob.Outcome) int {
	complete := 0
	for _, outcome := range outcomes {
		if outcome.State == ccjob.StateComplete {
			complete++
		}
	}
	return complete
}

func apply(t *testing.T, fleet *ccfleet.Fleet, fault ccfault.Fault) {
	t.Helper()
	if err := fleet.Apply(t.Context(), fault); err != nil {
		t.Fatal(err)
	}
}

// awaitStarts waits until the targets have started so many tasks.
func awaitStarts(t *testing.T, fleet *ccfleet.Fleet, count int) {
	t.Helper()
	for len(fleet.Starts()) < count {
		if t.Context().Err() != nil {
			t.Fatal("the targets started too few tasks")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestResubmission(t *testing.T) {
	fleet := newFleet(t)
	addrs := fleet.EntryAddrs()

	t.Run("attaches at every entry and gets the same answer", func(t *testing.T) {
		spec := newSpec(t, 3, 50*time.Millisecond)
		var specs []ccjob.Spec
		var outcomes []ccjob.Outcome
		var pending []<-chan []ccjob.Outcome
		for _, addr := range addrs {
			pending = append(pending, submitAll(t.Context(), addr, []ccjob.Spec{spec}))
		}
		for _, done := range pending {
			specs, outcomes = append(specs, spec), append(outcomes, <-done...)
		}
		assertOnce(t, fleet, specs, outcomes)
		if got := countComplete(outcomes); got != len(addrs) {
			t.Errorf("%d of %d submissions got the answer: %+v", got, len(addrs), outcomes)
		}
	})
	t.Run("gets the answer after the end", func(t *testing.T) {
		spec := newSpec(t, 2, time.Millisecond)
		for _, addr := range addrs {
			if outcome := submitAt(t.Context(), addr, spec); outcome.State != ccjob.StateComplete {
				t.Errorf("outcome %+v", outcome)
			}
		}
	})
	t.Run("with other content is a conflict", func(t *testing.T) {
		spec := newSpec(t, 2, time.Millisecond)
		if outcome := submitAt(t.Context(), addrs[0], spec); outcome.State != ccjob.StateComplete {
			t.Errorf("outcome %+v", outcome)
		}
		spec.Payloads = spec.Payloads[:1]
		for _, addr := range addrs {
			if outcome := submitAt(t.Context(), addr, spec); outcome.Kind != ccjob.KindConflict {
				t.Errorf("outcome %+v", outcome)
			}
		}
	})
}

// TestResubmissionAtItsQuota submits a running job again at an entry that takes
// no new job of the team. It must get the answer, not the promise that the job
// has not run.
func TestResubmissionAtItsQuota(t *testing.T) {
	const quota = 3
	fleet := newFleetOf(t, map[string]ccsettings.Team{"t": {Share: 1, MaxTasks: quota}})
	addrs := fleet.EntryAddrs()
	filling, shared, fresh := newSpec(t, quota, time.Second), newSpec(t, 2, time.Second), newSpec(t, 1, time.Millisecond)
	filled := submitAll(t.Context(), addrs[1], []ccjob.Spec{filling})
	first := submitAll(t.Context(), addrs[0], []ccjob.Spec{shared})
	awaitStarts(t, fleet, quota+2)
	if outcome := submitAt(t.Context(), addrs[1], fresh); outcome.Kind != ccjob.KindQuota || !outcome.NotRun {
		t.Errorf("a new job over the quota has outcome %+v", outcome)
	}
	again := submitAt(t.Context(), addrs[1], shared)
	outcomes := append(<-first, again, (<-filled)[0])
	assertOnce(t, fleet, []ccjob.Spec{shared, shared, filling}, outcomes)
	if got := countComplete(outcomes); got != len(outcomes) {
		t.Errorf("%d of %d submissions got the answer: %+v", got, len(outcomes), outcomes)
	}
}

// TestEntryKilled ends an entry with jobs in flight and submits them all again
// elsewhere.
func TestEntryKilled(t *testing.T) {
	fleet := newFleet(t)
	addrs := fleet.EntryAddrs()
	var specs []ccjob.Spec
	for range 60 {
		specs = append(specs, newSpec(t, 2, 100*time.Millisecond))
	}
	ctx, cancel := context.WithCancel(t.Context())
	first := submitAll(ctx, addrs[0], specs)
	awaitStarts(t, fleet, 20)
	apply(t, fleet, ccfault.Fault{Kind: ccfault.KindKillEntry, Index: 0})
	cancel()
	<-first
	outcomes := <-submitAll(t.Context(), addrs[1], specs)
	assertOnce(t, fleet, specs, outcomes)
	if got := countComplete(outcomes); got != len(specs) {
		t.Errorf("%d of %d jobs are complete: %+v", got, len(specs), outcomes)
	}
}

// TestEntryStopped hands over: the stopped entry's slots serve at once.
func TestEntryStopped(t *testing.T) {
	fleet := newFleet(t)
	addrs := fleet.EntryAddrs()
	apply(t, fleet, ccfault.Fault{Kind: ccfault.KindStopEntry, Index: 0})
	var specs []ccjob.Spec
	for range 30 {
		spec := newSpec(t, 1, time.Millisecond)
		spec.ID = "untimed-" + spec.ID
		specs = append(specs, spec)
	}
	outcomes := <-submitAll(t.Context(), addrs[1], specs)
	assertOnce(t, fleet, specs, outcomes)
	if got := countComplete(outcomes); got != len(specs) {
		t.Errorf("%d of %d jobs are complete: %+v", got, len(specs), outcomes)
	}
}

// TestStoreDown runs jobs, resubmitted at another entry, while the store is away.
func TestStoreDown(t *testing.T) {
	fleet := newFleet(t)
	addrs := fleet.EntryAddrs()
	if err := fleet.SetStoreOutage(true); err != nil {
		t.Fatal(err)
	}
	var specs []ccjob.Spec
	for range 30 {
		specs = append(specs, newSpec(t, 2, 50*time.Millisecond))
	}
	first, second := submitAll(t.Context(), addrs[0], specs), submitAll(t.Context(), addrs[1], specs)
	outcomes := append(<-first, <-second...)
	all := append(append([]ccjob.Spec{}, specs...), specs...)
	assertOnce(t, fleet, all, outcomes)
	if got := countComplete(outcomes); got != len(all) {
		t.Errorf("%d of %d submissions are complete", got, len(all))
	}
}

// TestEntryKilledInOutage ends an entry while the store is away. It stays in the
// roster, so the jobs of its slots, and those that it drove, fail at their
// deadline; none may start twice, and what is refused must not have run.
func TestEntryKilledInOutage(t *testing.T) {
	fleet := newFleet(t)
	addrs := fleet.EntryAddrs()
	if err := fleet.SetStoreOutage(true); err != nil {
		t.Fatal(err)
	}
	var specs []ccjob.Spec
	for range 40 {
		spec := newSpec(t, 2, 100*time.Millisecond)
		spec.Deadline = 2 * time.Second
		specs = append(specs, spec)
	}
	ctx, cancel := context.WithCancel(t.Context())
	first := submitAll(ctx, addrs[0], specs)
	awaitStarts(t, fleet, 10)
	apply(t, fleet, ccfault.Fault{Kind: ccfault.KindKillEntry, Index: 0})
	cancel()
	<-first
	assertOnce(t, fleet, specs, <-submitAll(t.Context(), addrs[1], specs))
}
