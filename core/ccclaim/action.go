package ccclaim

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccroster"
	"camphorcroft/core/ccwire"
)

// Action is something for the caller of a Requester to do: a *SendClaim,
// *SendRelease, *SendAwait, *SendRecover, *Drive or *Finish.
type Action interface{ isAction() }

// Token tells which request a reply belongs to.
type Token struct {
	JobID ccjob.ID
	Seq   uint64
}

// SendClaim sends a claim to an authority. The reply goes to ClaimAnswered.
type SendClaim struct {
	To      ccroster.Member
	Token   Token
	Message ccwire.Claim
}

// SendRelease gives a claim back to its authority. Nothing comes back.
type SendRelease struct {
	To      ccroster.Member
	Message ccwire.Release
}

// SendAwait asks a job's driver for the outcome. The reply goes to AwaitAnswered.
type SendAwait struct {
	To      ccroster.Member
	Token   Token
	Message ccwire.Await
}

// SendRecover asks an agent what it knows of a job. The reply goes to
// RecoverAnswered; without one the message is sent again.
type SendRecover struct {
	Agent   ccnode.Ref
	Token   Token
	Message ccwire.Recover
}

// Drive lets the entry start the tasks of a job. Fates says what became of them
// under earlier claims; it is nil when the job is new.
type Drive struct {
	JobID     ccjob.ID
	Claim     uint64
	Recovered []RecoveredTask
}

// Finish gives a job's outcome without driving it.
type Finish struct {
	Outcome ccjob.Outcome
}

func (*SendClaim) isAction()   {}
func (*SendRelease) isAction() {}
func (*SendAwait) isAction()   {}
func (*SendRecover) isAction() {}
func (*Drive) isAction()       {}
func (*Finish) isAction()      {}
