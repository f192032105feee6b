package ccload

import (
	"encoding/json"
	"fmt"
	"time"

	"camphorcroft/core/ccjob"
)

// Arrival is a planned submission of one job.
type Arrival struct {
	Number  int    // Position in the plan, from zero.
	Service string // Service and Team go into the job.
	Team    string
	// At is the planned time of submission, relative to the start of the run.
	At time.Duration
	// Deadline is the deadline that the client requests.
	Deadline time.Duration
	// Declared is the client's estimate of the run time of the whole job. It may
	// be far off.
	Declared time.Duration
	// Tasks holds the nominal run time of each task.
	Tasks []time.Duration
	// ResubmitAfter is the delay until the job is submitted again at another entry.
	// Zero means that it is submitted once.
	ResubmitAfter time.Duration
	// CancelAfter is the delay until the client cancels the job. Zero means never.
	CancelAfter time.Duration
	// LeaveAfter is the delay until the client closes its connection. Zero means
	// never.
	LeaveAfter time.Duration
}

// Work returns the total nominal run time of all tasks.
func (a *Arrival) Work() time.Duration {
	var work time.Duration
	for _, task := range a.Tasks {
		work += task
	}
	return work
}

// Echo returns the text that a target sends back for a task. It is unique within
// a run, so that an answer to another task is detected.
func (a *Arrival) Echo(index int) string {
	return fmt.Sprintf("%d/%d", a.Number, index)
}

// Spec returns the job specification to submit under the ID.
func (a *Arrival) Spec(id ccjob.ID) ccjob.Spec {
	spec := ccjob.Spec{ID: id, Service: a.Service, Team: a.Team, Deadline: a.Deadline}
	for index, run := range a.Tasks {
		// Marshaling a struct of a number and a string cannot fail.
		payload, _ := json.Marshal(struct {
			RunMS int64  `json:"runMS"`
			Echo  string `json:"echo"`
		}{run.Milliseconds(), a.Echo(index)})
		spec.Payloads = append(spec.Payloads, string(payload))
	}
	return spec
}
