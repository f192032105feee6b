package ccclaim

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// AgentIncarnation is one run of an agent process. End is zero while it is
// running.
type AgentIncarnation struct {
	Ref   ccnode.Ref
	Start time.Time
	End   time.Time
}

// RecoveryConfig describes a job that continues under a new claim.
type RecoveryConfig struct {
	JobID ccjob.ID
	Claim uint64
	// Tasks is the number of tasks, known from the client's resubmission.
	Tasks int
	// Since is the earliest time at which a task of the job can have started.
	Since time.Time
	// Incarnations must contain all agent incarnations that ended after Since
	// or are still running. It may contain some that ended earlier.
	Incarnations []AgentIncarnation
}

// Recovery determines the state of each task of a job whose driver is gone. Its
// result holds from the time when all agents were asked, because the request
// also fences the earlier claims.
type Recovery struct {
	cfg          RecoveryConfig
	incarnations map[ccnode.Ref]*agentState
	reports      map[int]AgentReport
}

// agentState records what one agent incarnation has answered.
type agentState struct {
	incarnation AgentIncarnation
	resolved    bool // It has answered, has ended or was given up.
	complete    bool // Its memory covers every task of the job that it may have started.
}

// AgentReport is what an agent knows of one task that started.
type AgentReport struct {
	Agent ccnode.Ref
	Task  ccwire.TaskReport
}

// RecoveredTask is the state of one task under earlier claims.
type RecoveredTask struct {
	Index int
	State TaskState
	// Report is set for TaskEnded and TaskRunning.
	Report AgentReport
}

// TaskState says whether a task has started, and whether it has ended.
type TaskState string

const (
	// TaskEnded is a task that ran; its report says how it ended.
	TaskEnded TaskState = "ended"
	// TaskRunning is a task that an agent is running. The agent will report its
	// end.
	TaskRunning TaskState = "running"
	// TaskNotStarted is a task that started nowhere and may be run.
	TaskNotStarted TaskState = "fresh"
	// TaskLost is a task that may have started on an agent that can't be asked.
	TaskLost TaskState = "lost"
)

// NewRecovery returns a recovery that has received no replies.
func NewRecovery(cfg RecoveryConfig) *Recovery {
	r := &Recovery{cfg: cfg, incarnations: map[ccnode.Ref]*agentState{}, reports: map[int]AgentReport{}}
	r.AddIncarnations(cfg.Incarnations)
	return r
}

// AddIncarnations adds the incarnations that are not known yet, and reports
// whether any of them must be asked. Those that have ended can't answer and are
// not asked.
func (r *Recovery) AddIncarnations(incarnations []AgentIncarnation) bool {
	mustAsk := false
	for _, incarnation := range incarnations {
		_, known := r.incarnations[incarnation.Ref]
		if known || !incarnation.End.IsZero() && incarnation.End.Before(r.cfg.Since) {
			continue
		}
		r.incarnations[incarnation.Ref] = &agentState{incarnation: incarnation, resolved: !incarnation.End.IsZero()}
		mustAsk = mustAsk || incarnation.End.IsZero()
	}
	return mustAsk
}

// Request returns the incarnations that have not answered yet, and the message
// to send to them.
func (r *Recovery) Request() ([]ccnode.Ref, ccwire.Recover) {
	var refs []ccnode.Ref
	for ref, state := range r.incarnations {
		if !state.resolved {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: r.cfg.JobID, Claim: r.cfg.Claim}}}
}

// HandleReply processes an agent's reply. A reply from a later incarnation than
// the one asked says nothing about the tasks of the earlier one, but shows that
// it has ended.
func (r *Recovery) HandleReply(reply ccwire.RecoverReply) {
	for ref, state := range r.incarnations {
		if ref.ID == reply.Agent.ID && ref.Incarnation < reply.Agent.Incarnation {
			state.resolved = true
		}
	}
	since := time.UnixMilli(reply.MemorySince)
	state, ok := r.incarnations[reply.Agent]
	if !ok {
		// The incarnation started after the list was made, so its start is
		// reply.Since.
		state = &agentState{incarnation: AgentIncarnation{Ref: reply.Agent, Start: since}}
		r.incarnations[reply.Agent] = state
	}
	state.resolved = true
	state.complete = !since.After(r.cfg.Since) || !since.After(state.incarnation.Start)
	for _, job := range reply.Jobs {
		if job.ID == r.cfg.JobID {
			r.addReports(reply.Agent, job.Tasks)
		}
	}
}

func (r *Recovery) addReports(agent ccnode.Ref, tasks []ccwire.TaskReport) {
	for _, task := range tasks {
		if !task.Code.Started() {
			continue
		}
		if earlier, ok := r.reports[task.Index]; ok && earlier.Task.Code != ccwire.CodeRunning {
			continue
		}
		r.reports[task.Index] = AgentReport{Agent: agent, Task: task}
	}
}

// GiveUp stops waiting for an incarnation that is unreachable or has ended.
func (r *Recovery) GiveUp(ref ccnode.Ref) {
	if state, ok := r.incarnations[ref]; ok {
		state.resolved = true
	}
}

// Done reports whether each incarnation has answered or was given up.
func (r *Recovery) Done() bool {
	for _, state := range r.incarnations {
		if !state.resolved {
			return false
		}
	}
	return true
}

// Complete reports whether every incarnation that can have started a task has
// listed all tasks that it started.
func (r *Recovery) Complete() bool {
	for _, state := range r.incarnations {
		if !state.complete {
			return false
		}
	}
	return true
}

// Tasks returns the state of each task, in order. Call it once Done returns
// true.
func (r *Recovery) Tasks() []RecoveredTask {
	unreported := TaskLost
	if r.Done() && r.Complete() {
		unreported = TaskNotStarted
	}
	tasks := make([]RecoveredTask, r.cfg.Tasks)
	for index := range tasks {
		report, ok := r.reports[index]
		switch {
		case !ok:
			tasks[index] = RecoveredTask{Index: index, State: unreported}
		case report.Task.Code == ccwire.CodeRunning:
			tasks[index] = RecoveredTask{Index: index, State: TaskRunning, Report: report}
		default:
			tasks[index] = RecoveredTask{Index: index, State: TaskEnded, Report: report}
		}
	}
	return tasks
}

// NotRun reports whether the task states prove that no task started.
func NotRun(tasks []RecoveredTask) bool {
	for _, task := range tasks {
		if task.State != TaskNotStarted {
			return false
		}
	}
	return true
}
