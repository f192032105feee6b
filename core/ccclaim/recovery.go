package ccclaim

import (
	"slices"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// AgentIncarnation is one incarnation of an agent. End is zero while it lives.
type AgentIncarnation struct {
	Ref   ccnode.Ref
	Start time.Time
	End   time.Time
}

// RecoveryConfig describes a job that goes on under a new claim.
type RecoveryConfig struct {
	JobID ccjob.ID
	Claim uint64
	// Tasks is the number of tasks, which the client's resubmission tells.
	Tasks int
	// Since is the earliest time at which a task of the job can have started.
	Since time.Time
	// Incarnations are all lives of agents that ended after Since or have not ended.
	// Those that ended earlier may be in the list.
	Incarnations []AgentIncarnation
}

// Recovery works out what is left of a job whose driver is gone. Whatever it
// decides counts from when all agents were asked, since asking also fences the
// earlier claims.
type Recovery struct {
	cfg   RecoveryConfig
	lives map[ccnode.Ref]*lifeAnswer
	found map[int]AgentReport
}

// lifeAnswer is how one life answered.
type lifeAnswer struct {
	life    AgentIncarnation
	heard   bool
	vouches bool
}

// AgentReport is what an agent knows of one task that started.
type AgentReport struct {
	Agent ccnode.Ref
	Task  ccwire.TaskReport
}

// RecoveredTask is what to do about one task.
type RecoveredTask struct {
	Index int
	State TaskState
	// Report is set for FateEnded and FateRunning.
	Report AgentReport
}

// TaskState sorts fates.
type TaskState string

const (
	// TaskEnded is a task that ran; its report says how it ended.
	TaskEnded TaskState = "ended"
	// TaskRunning is a task that an agent runs. Its report will follow.
	TaskRunning TaskState = "running"
	// TaskNotStarted is a task that started nowhere and may be run.
	TaskNotStarted TaskState = "fresh"
	// TaskLost is a task that may have started where nobody can be asked.
	TaskLost TaskState = "lost"
)

// NewRecovery returns a recovery that has heard nobody.
func NewRecovery(cfg RecoveryConfig) *Recovery {
	r := &Recovery{cfg: cfg, lives: map[ccnode.Ref]*lifeAnswer{}, found: map[int]AgentReport{}}
	r.AddIncarnations(cfg.Incarnations)
	return r
}

// AddIncarnations adds lives that began since, and reports whether any has to be asked.
// Lives that ended are known not to answer.
func (r *Recovery) AddIncarnations(lives []AgentIncarnation) bool {
	more := false
	for _, life := range lives {
		_, known := r.lives[life.Ref]
		if known || !life.End.IsZero() && life.End.Before(r.cfg.Since) {
			continue
		}
		r.lives[life.Ref] = &lifeAnswer{life: life, heard: !life.End.IsZero()}
		more = more || life.End.IsZero()
	}
	return more
}

// Request returns the message to send, and the lives that have not answered it.
func (r *Recovery) Request() ([]ccnode.Ref, ccwire.Recover) {
	var refs []ccnode.Ref
	for ref, answer := range r.lives {
		if !answer.heard {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs, ccwire.Recover{Jobs: []ccwire.RecoverJob{{ID: r.cfg.JobID, Claim: r.cfg.Claim}}}
}

// HandleReply takes an agent's reply. A reply of a later life than was asked says
// nothing about the earlier one, which is then over.
func (r *Recovery) HandleReply(reply ccwire.RecoverReply) {
	for ref, answer := range r.lives {
		if ref.ID == reply.Agent.ID && ref.Incarnation < reply.Agent.Incarnation {
			answer.heard = true
		}
	}
	since := time.UnixMilli(reply.MemorySince)
	answer, ok := r.lives[reply.Agent]
	if !ok {
		// The life began after the list was made, so it began with reply.Since.
		answer = &lifeAnswer{life: AgentIncarnation{Ref: reply.Agent, Start: since}}
		r.lives[reply.Agent] = answer
	}
	answer.heard = true
	answer.vouches = !since.After(r.cfg.Since) || !since.After(answer.life.Start)
	for _, job := range reply.Jobs {
		if job.ID == r.cfg.JobID {
			r.collect(reply.Agent, job.Tasks)
		}
	}
}

func (r *Recovery) collect(agent ccnode.Ref, tasks []ccwire.TaskReport) {
	for _, task := range tasks {
		if !task.Code.Started() {
			continue
		}
		if earlier, ok := r.found[task.Index]; ok && earlier.Task.Code != ccwire.CodeRunning {
			continue
		}
		r.found[task.Index] = AgentReport{Agent: agent, Task: task}
	}
}

// GiveUp gives up on a life: it can't be reached, or its time is over.
func (r *Recovery) GiveUp(ref ccnode.Ref) {
	if answer, ok := r.lives[ref]; ok {
		answer.heard = true
	}
}

// Done reports whether every life has answered or was given up.
func (r *Recovery) Done() bool {
	for _, answer := range r.lives {
		if !answer.heard {
			return false
		}
	}
	return true
}

// Complete reports whether every life that can have started a task vouches for
// what it started.
func (r *Recovery) Complete() bool {
	for _, answer := range r.lives {
		if !answer.vouches {
			return false
		}
	}
	return true
}

// Tasks returns what to do about each task, in order. Call it once Done.
func (r *Recovery) Tasks() []RecoveredTask {
	missing := TaskLost
	if r.Done() && r.Complete() {
		missing = TaskNotStarted
	}
	fates := make([]RecoveredTask, r.cfg.Tasks)
	for index := range fates {
		found, ok := r.found[index]
		switch {
		case !ok:
			fates[index] = RecoveredTask{Index: index, State: missing}
		case found.Task.Code == ccwire.CodeRunning:
			fates[index] = RecoveredTask{Index: index, State: TaskRunning, Report: found}
		default:
			fates[index] = RecoveredTask{Index: index, State: TaskEnded, Report: found}
		}
	}
	return fates
}

// NotRun reports whether the fates prove that no task started.
func NotRun(fates []RecoveredTask) bool {
	for _, fate := range fates {
		if fate.State != TaskNotStarted {
			return false
		}
	}
	return true
}
