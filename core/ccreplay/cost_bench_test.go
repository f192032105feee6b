package ccreplay

import (
	"fmt"
	"testing"
	"time"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

// benchSizes are the numbers of agents with a session: those of the deployments and of
// the size to design for.
var benchSizes = []int{11, 78, 295, 4200}

// queuedJobs is how many jobs wait for capacity in the benchmarks of a full fleet.
const queuedJobs = 200

// newBenchScheduler returns a scheduler with n agents that each have capacity for four
// tasks.
func newBenchScheduler(b *testing.B, n int) *Scheduler {
	b.Helper()
	s := New(Config{Self: ccnode.Ref{ID: "entry"}, Domain: "north"})
	s.SetPlan(epoch, &ccroute.Plan{Revision: 1, Routes: []ccroute.Route{route}})
	for i := range n {
		attachBenchAgent(s, epoch, i)
	}
	s.Take(epoch)
	return s
}

func benchAgentID(i int) ccnode.ID { return ccnode.ID(fmt.Sprintf("agent-%04d", i)) }

func attachBenchAgent(s *Scheduler, now time.Time, i int, runs ...ccwire.RunRef) {
	capacity := ccresource.Amount{CPU: 4000}
	session := uint64(1)
	if a := s.agents[benchAgentID(i)]; a != nil {
		session = a.session + 1
	}
	s.Attach(now, ccwire.Attach{
		Node: ccnode.Ref{ID: benchAgentID(i), Incarnation: 1}, Session: session, Runs: runs,
		Report: ccwire.RunReport{PriorRunsEnded: true, Free: capacity, Worker: &ccwire.WorkerInfo{Domain: "north", Service: "proof", Capacity: capacity}},
	})
}

func submitBenchJob(s *Scheduler, now time.Time, id string, tasks int) {
	s.Submit(now, Request{
		ID: id, Route: route, Tasks: tasks, Need: ccresource.Amount{CPU: 1000}, Estimate: 10 * time.Minute, Deadline: now.Add(time.Hour),
	})
}

// fillBenchAgents submits jobs until all agents are full and queuedJobs more jobs wait.
func fillBenchAgents(s *Scheduler, now time.Time, agents int) {
	for i := range agents + queuedJobs {
		submitBenchJob(s, now, fmt.Sprintf("job-%05d", i), 4)
	}
	s.Take(now)
}

// forEachSize runs a benchmark with each number of agents, once with an idle fleet and
// once with a full one.
func forEachSize(b *testing.B, run func(b *testing.B, s *Scheduler, agents int)) {
	for _, agents := range benchSizes {
		b.Run(fmt.Sprintf("idle/%d", agents), func(b *testing.B) {
			run(b, newBenchScheduler(b, agents), agents)
		})
		b.Run(fmt.Sprintf("full/%d", agents), func(b *testing.B) {
			s := newBenchScheduler(b, agents)
			fillBenchAgents(s, epoch, agents)
			run(b, s, agents)
		})
	}
}

func BenchmarkReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *Scheduler, agents int) {
		free := s.agents[benchAgentID(0)].free
		if len(s.agents[benchAgentID(0)].runs) > 0 {
			free = ccresource.Amount{}
		}
		for i := 0; b.Loop(); i++ {
			s.Report(epoch, benchAgentID(i%agents), ccwire.RunReport{HandledSequence: 1 << 40, Free: free, PriorRunsEnded: true})
			s.Take(epoch)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *Scheduler, _ int) {
		for b.Loop() {
			s.Tick(epoch)
			s.Take(epoch)
		}
	})
}

// BenchmarkJob is a job of four tasks that is submitted, placed and completed.
func BenchmarkJob(b *testing.B) {
	for _, agents := range benchSizes {
		b.Run(fmt.Sprintf("idle/%d", agents), func(b *testing.B) {
			s := newBenchScheduler(b, agents)
			for i := 0; b.Loop(); i++ {
				submitBenchJob(s, epoch, fmt.Sprintf("job-%d", i), 4)
				for _, m := range s.Take(epoch).Messages {
					report := ccwire.RunReport{HandledSequence: m.Orders.Sequence, Free: ccresource.Amount{CPU: 4000}, PriorRunsEnded: true}
					for _, order := range m.Orders.Starts {
						report.Results = append(report.Results, ccwire.RunResult{Task: order.Task, Order: order.Order, Outcome: ccwire.RunDone})
					}
					s.Report(epoch, m.To, report)
				}
				s.Take(epoch)
			}
		})
	}
}

func BenchmarkAttach(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *Scheduler, agents int) {
		runs := map[ccnode.ID][]ccwire.RunRef{}
		for _, j := range s.jobList {
			for index := range j.tasks {
				id := j.tasks[index].agent
				runs[id] = append(runs[id], j.runRef(index))
			}
		}
		for i := 0; b.Loop(); i++ {
			attachBenchAgent(s, epoch, i%agents, runs[benchAgentID(i%agents)]...)
			s.Take(epoch)
		}
	})
}

// BenchmarkDetach detaches agents while 1,000 or more tasks run in the fleet.
func BenchmarkDetach(b *testing.B) {
	for _, agents := range benchSizes {
		b.Run(fmt.Sprintf("full/%d", agents), func(b *testing.B) {
			s := newBenchScheduler(b, agents)
			fillBenchAgents(s, epoch, max(agents, 250))
			for i := 0; b.Loop(); i++ {
				s.Detach(epoch, benchAgentID(i%agents))
				s.Take(epoch)
				s.agents[benchAgentID(i%agents)].attached = true
			}
		})
	}
}
