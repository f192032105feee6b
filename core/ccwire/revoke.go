package ccwire

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Revoke asks an agent not to start tasks that it has not started. The agent
// leaves a tombstone for each, so that a copy that is still under way never
// starts.
type Revoke struct {
	Agent ccnode.Ref  `json:"agent"` // The life of the agent that was sent the tasks.
	Jobs  []RevokeJob `json:"jobs"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// RevokeJob names tasks of one job, each with the attempt that was sent.
type RevokeJob struct {
	ID    ccjob.ID     `json:"id"`
	Claim uint64       `json:"claim"`
	Tasks []RevokeTask `json:"tasks"`
}

// RevokeTask names one attempt and all before it.
type RevokeTask struct {
	Index   int `json:"index"`
	Attempt int `json:"attempt"`
}

// RevokeReply has one TaskReport for each task that was asked about. CodeFenced
// proves that the task did not start under this claim and attempt at this
// incarnation, and never will.
type RevokeReply struct {
	Agent ccnode.Ref  `json:"agent"` // The life that answers. It may be a later one.
	Jobs  []ReportJob `json:"jobs"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// Recover asks an agent for all it knows of jobs whose driver is gone, and
// fences every claim below the given one.
type Recover struct {
	Jobs []RecoverJob `json:"jobs"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}

// RecoverJob names a job and the claim under which it goes on.
type RecoverJob struct {
	ID    ccjob.ID `json:"id"`
	Claim uint64   `json:"claim"`
}

// RecoverReply has the tasks that started at this agent, per job. What is not
// listed did not start here and never will under an earlier claim.
type RecoverReply struct {
	Agent ccnode.Ref `json:"agent"`
	// MemorySince is when the memory of this incarnation begins, in Unix milliseconds.
	MemorySince int64       `json:"since"`
	Jobs        []ReportJob `json:"jobs"`
	// Cause is the sequence number of the sender's newest event, for the time line.
	Cause uint64 `json:"cause,omitempty"`
}
