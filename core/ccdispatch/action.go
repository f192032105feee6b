package ccdispatch

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Action is something for the caller to do: a *SendDispatch, *SendRevoke,
// *SendProbe or *EndJob.
type Action interface{ isAction() }

// SendDispatch sends tasks to an agent.
type SendDispatch struct {
	Agent   ccnode.ID
	Message ccwire.Dispatch
}

// SendRevoke asks an agent about tasks whose fate is unknown. The reply goes to
// Revoked.
type SendRevoke struct {
	Agent   ccnode.ID
	Message ccwire.Revoke
}

// SendProbe asks a silent agent for a report, which goes to Report.
type SendProbe struct {
	Agent   ccnode.ID
	Message ccwire.Probe
}

// EndJob tells how a job ended. When Release is set, nothing of the job started
// and its claim can be given back.
type EndJob struct {
	Outcome ccjob.Outcome
	Claim   uint64
	Release bool
}

func (*SendDispatch) isAction() {}
func (*SendRevoke) isAction()   {}
func (*SendProbe) isAction()    {}
func (*EndJob) isAction()       {}
