package ccreplay

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccwire"
)

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

// handleCrash records a crash of an agent's worker.
func (s *Scheduler) handleCrash(now time.Time, a *agent, report ccwire.CrashReport) {
	findings, isNew := s.crashes.Record(now, a.ref, report)
	if !isNew {
		return
	}
	s.recordChange(Change{Message: "Worker crashed.", Agent: a.ref.ID, Count: len(report.Suspects)})
	for _, task := range findings.Causes {
		s.recordChange(Change{Message: "Task crashes workers.", Job: task.Job, Index: task.Index, Agent: a.ref.ID, Count: s.crashes.Crashes(task)})
	}
	for _, class := range findings.Isolated {
		s.recordChange(Change{Message: "Jobs crash workers.", Reason: s.className(class), Agent: a.ref.ID})
	}
}
