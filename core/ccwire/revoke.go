package ccwire

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// Revoke asks an agent not to start tasks that it has not started yet. The agent
// keeps a tombstone for each, so that a dispatch that is still in transit never
// starts the task.
type Revoke struct {
	Agent ccnode.Ref  `json:"agent"` // The incarnation of the agent that was sent the tasks.
	Jobs  []RevokeJob `json:"jobs"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// RevokeJob names tasks of one job, each with the attempt that was sent.
type RevokeJob struct {
	ID    ccjob.ID     `json:"id"`
	Claim uint64       `json:"claim"`
	Tasks []RevokeTask `json:"tasks"`
}

// RevokeTask names an attempt and all earlier attempts of the task.
type RevokeTask struct {
	Index   int `json:"index"`
	Attempt int `json:"attempt"`
}

// RevokeReply has one TaskReport for each task in the request. CodeFenced proves
// that the task has not started and never will start under this claim and attempt
// at this incarnation.
type RevokeReply struct {
	Agent ccnode.Ref  `json:"agent"` // The incarnation that answers, possibly a later one.
	Jobs  []ReportJob `json:"jobs"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// Recover asks an agent for everything it knows about jobs whose driver is gone,
// and fences every claim lower than the given one.
type Recover struct {
	Jobs []RecoverJob `json:"jobs"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}

// RecoverJob names a job and the claim under which it continues.
type RecoverJob struct {
	ID    ccjob.ID `json:"id"`
	Claim uint64   `json:"claim"`
}

// RecoverReply lists the tasks that have started at this agent, by job. A task
// that isn't listed has not started here and never will under an earlier claim.
type RecoverReply struct {
	Agent ccnode.Ref `json:"agent"`
	// MemorySince is when this incarnation began to record tasks, in Unix
	// milliseconds.
	MemorySince int64       `json:"since"`
	Jobs        []ReportJob `json:"jobs"`
	// Cause is the sequence number of the sender's latest event. Timelines use it
	// to order events of different nodes.
	Cause uint64 `json:"cause,omitempty"`
}
