package ccdemo

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/io/ccclient"
)

// twice is what became of one job that was submitted at two entries at once,
// and a third time after its end.
type twice struct {
	id    ccjob.ID
	same  bool // All three got the same whole answer.
	tasks int
}

const twiceTasks = 20

// submitTwice submits one job three times.
func (d *Demo) submitTwice(ctx context.Context) (*twice, error) {
	drawn, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Trace(err)
	}
	arrival := &ccload.Arrival{Service: d.profile.Service, Team: "team-0", Deadline: deadline}
	for range twiceTasks {
		arrival.Tasks = append(arrival.Tasks, 100*time.Millisecond)
	}
	spec := arrival.Spec(ccjob.ID(drawn.String()))
	entries := d.fleet.EntryAddrs()
	client := ccclient.New(ccclient.Config{Entries: entries})
	defer client.Close()
	var outcomes [3]ccjob.Outcome
	var failures [3]error
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() { outcomes[i], failures[i] = client.SubmitOnce(ctx, entries[i], &spec) })
	}
	group.Wait()
	outcomes[2], failures[2] = client.SubmitOnce(ctx, entries[2], &spec)
	result := &twice{id: spec.ID, tasks: twiceTasks, same: true}
	for i, outcome := range outcomes {
		whole := failures[i] == nil && outcome.State == ccjob.StateComplete && len(outcome.Answers) == twiceTasks
		if !whole || !reflect.DeepEqual(outcome.Answers, outcomes[0].Answers) {
			result.same = false
			d.say("Submission %d of the same job: state %s %s %s, error %v.", i+1, outcome.State, outcome.Kind, outcome.Reason, failures[i])
		}
	}
	if result.same {
		d.say("One job was submitted at three entries: each got the same whole answer.")
	}
	return result, nil
}
