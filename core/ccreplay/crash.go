package ccreplay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// crashReason is the reason of an answer to a job with a task that crashes workers.
const crashReason = "a task crashes the workers that run it"

// classOf identifies the kind of a job: all jobs of a route are alike. It is not zero.
func classOf(route ccroute.Route) uint32 { return max(1, uint32(xxhash.Sum64String(route.Name))) }

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

// markSuspect updates what a job knows of the crashes of one of its tasks.
func (s *Scheduler) markSuspect(now time.Time, j *job, i int) {
	if s.crashes.Empty() {
		return
	}
	j.tasks[i].crashes = s.crashes.Crashes(ccwire.TaskRef{Job: j.request.ID, Index: i})
	if j.tasks[i].crashes > 0 {
		j.trial = s.trialAgents(now, j.request.Route)
	}
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
		if j := s.jobs[task.Job]; j != nil && !j.answered && j.hasTask(task.Index) && j.tasks[task.Index].state == taskQueued {
			s.answerJob(now, j, StateFailed, crashReason)
		}
	}
	if len(findings.Isolated) > 0 {
		s.updateIsolation(now)
	}
}
