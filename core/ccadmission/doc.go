// Package ccadmission decides which of the jobs that wait at an entry are refused because they
// can't be served in time.
//
// An Estimator is told of the tasks that arrive and that are placed. From their rates and from
// the tasks that wait before a job it estimates when the job's last task can be placed. It has
// no clock and sends no messages. docs/design/admission.md has the alternatives that were
// measured.
//
// # Usage
//
//	estimator := ccadmission.New()
//	estimator.Arrived(now, priority, tasks)
//	estimator.Placed(now, 1)
//	estimator.Backlog(now, true)
//	verdict := estimator.Verdict(now, job)
package ccadmission
