package ccreplay

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccwire"
)

// crashReason is the reason of an answer to a job with a task that crashes workers.
const crashReason = "a task crashes the workers that run it"

// classOf identifies the kind of a job: all jobs of a route are alike.
func classOf(request Request) uint32 { return uint32(xxhash.Sum64String(request.Route.Name)) }

// className returns the name of the route whose jobs are of a class.
func (s *Scheduler) className(class uint32) string {
	if s.plan != nil {
		for _, route := range s.plan.Routes {
			if classOf(Request{Route: route}) == class {
				return route.Name
			}
		}
	}
	return fmt.Sprintf("class %08x", class)
}

// crashesWorkers reports whether any task of a request counts as the cause of crashes.
func (s *Scheduler) crashesWorkers(request Request) bool {
	if s.crashes.Empty() {
		return false
	}
	for i := range request.Tasks {
		if s.crashes.IsCause(ccwire.TaskRef{Job: request.ID, Index: i}) {
			return true
		}
	}
	return false
}

// handleCrash records a crash of an agent's worker.
func (s *Scheduler) handleCrash(now time.Time, a *agent, report ccwire.CrashReport) {
	findings, isNew := s.crashes.Record(now, a.ref, report)
	if !isNew {
		return
	}
	s.recordChange(Change{Message: "Worker crashed.", Agent: a.ref.ID, Count: len(report.Suspects)})
	for _, task := range findings.Causes {
		s.recordChange(Change{Message: "Task crashes workers.", Job: task.Job, Index: task.Index, Agent: a.ref.ID, Count: s.crashes.Crashes(task)})
		if j := s.jobs[task.Job]; j != nil && !j.answered && task.Index < len(j.tasks) && j.tasks[task.Index].state == taskQueued {
			s.answerJob(now, j, StateFailed, crashReason)
		}
	}
	for _, class := range findings.Isolated {
		s.recordChange(Change{Message: "Jobs crash workers.", Reason: s.className(class), Agent: a.ref.ID})
	}
}
