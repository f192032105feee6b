package ccclaim

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Action is a step that the caller of a Requester must carry out: a *SendClaim,
// *SendRelease, *SendAwait, *SendRecover, *Drive or *Finish.
type Action interface{ isAction() }

// Token identifies the request that a reply answers.
type Token struct {
	JobID ccjob.ID
	Seq   uint64
}

// SendClaim sends a claim to an authority. The reply goes to HandleClaimReply.
type SendClaim struct {
	To      ccroster.Member
	Token   Token
	Message ccwire.Claim
}

// SendRelease returns a claim to its authority. There is no reply.
type SendRelease struct {
	To      ccroster.Member
	Message ccwire.Release
}

// SendAwait asks a job's driver for the outcome. The reply goes to
// HandleAwaitReply.
type SendAwait struct {
	To      ccroster.Member
	Token   Token
	Message ccwire.Await
}

// SendRecover asks an agent what it knows of a job. The reply goes to
// HandleRecoverReply; if there is none, the message is sent again.
type SendRecover struct {
	Agent   ccnode.Ref
	Token   Token
	Message ccwire.Recover
}

// Drive lets the entry start the tasks of a job. Recovered holds the state of
// each task under earlier claims; it is nil when the job is new.
type Drive struct {
	JobID     ccjob.ID
	Claim     uint64
	Recovered []RecoveredTask
}

// Finish ends a job with an outcome, without driving it.
type Finish struct {
	Outcome ccjob.Outcome
}

func (*SendClaim) isAction()   {}
func (*SendRelease) isAction() {}
func (*SendAwait) isAction()   {}
func (*SendRecover) isAction() {}
func (*Drive) isAction()       {}
func (*Finish) isAction()      {}
