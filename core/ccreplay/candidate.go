package ccreplay

import "time"

// candidate is the predicted result of placing a task on an agent.
type candidate struct {
	agent *agent
	trial bool // The task was in a crash, and the agent is one of those for its trial.
	// meetsObjective is true if the task meets the objective both with the shortest and
	// with the longest run time to expect.
	meetsObjective bool
	latency        time.Duration // From the job's arrival, with any remoteDomainPenalty.
}

func (s *Scheduler) newCandidate(now time.Time, j *job, i int, a *agent) candidate {
	slowdown := a.pace * s.localityFactor(j, a)
	overhead := now.Sub(j.arrived)
	if a.domain != s.cfg.Domain {
		overhead += remoteDomainPenalty
	}
	return candidate{
		agent: a, trial: j.tasks[i].crashes > 0 && j.trial[a.ref.ID], latency: overhead + time.Duration(slowdown*float64(j.expected)),
		meetsObjective: j.meetsObjective(minEstimateFactor, slowdown, overhead) && j.meetsObjective(maxEstimateFactor, slowdown, overhead),
	}
}

// meetsObjective reports whether a task whose work is estimateFactor times the estimate
// meets the objective for that work, on an agent that takes slowdown times as long.
func (j *job) meetsObjective(estimateFactor, slowdown float64, overhead time.Duration) bool {
	work := time.Duration(estimateFactor * float64(j.expected))
	return overhead+time.Duration(slowdown*float64(work)) <= j.request.Route.Objective(work)
}

// better reports whether c is preferred to other. On a tie of latency, the agent with more
// free CPU is preferred.
func (c candidate) better(other candidate) bool {
	if c.trial != other.trial {
		return c.trial
	}
	if c.meetsObjective != other.meetsObjective {
		return c.meetsObjective
	}
	return c.latency < other.latency || c.latency == other.latency && c.agent.available.CPU > other.agent.available.CPU
}
