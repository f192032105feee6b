package ccload

import (
	"encoding/json"
	"fmt"
	"time"

	"camphorcroft/core/ccjob"
)

// Arrival is one job of a plan.
type Arrival struct {
	Number  int    // Position in the plan, from zero.
	Service string // Service and Team go into the job.
	Team    string
	// At is the planned time of submission, from the start of the run.
	At time.Duration
	// Deadline is what the client asks for.
	Deadline time.Duration
	// Declared is the run time of the whole job that the client believes in. It
	// may be far off.
	Declared time.Duration
	// Tasks are the nominal run times.
	Tasks []time.Duration
	// ResubmitAfter submits the job again at another entry. Zero doesn't.
	ResubmitAfter time.Duration
	// CancelAfter cancels the job. Zero doesn't.
	CancelAfter time.Duration
	// LeaveAfter closes the client's connection. Zero doesn't.
	LeaveAfter time.Duration
}

// Work is the nominal run time of all tasks.
func (a *Arrival) Work() time.Duration {
	var work time.Duration
	for _, task := range a.Tasks {
		work += task
	}
	return work
}

// Echo is the text that a target returns for a task. It is unique in a run, so
// that an answer which belongs elsewhere is seen.
func (a *Arrival) Echo(index int) string {
	return fmt.Sprintf("%d/%d", a.Number, index)
}

// Spec returns the job to submit under the ID.
func (a *Arrival) Spec(id ccjob.ID) ccjob.Spec {
	spec := ccjob.Spec{ID: id, Service: a.Service, Team: a.Team, Deadline: a.Deadline}
	for index, run := range a.Tasks {
		// A struct of a number and a string always marshals.
		payload, _ := json.Marshal(struct {
			RunMS int64  `json:"runMS"`
			Echo  string `json:"echo"`
		}{run.Milliseconds(), a.Echo(index)})
		spec.Payloads = append(spec.Payloads, string(payload))
	}
	return spec
}
