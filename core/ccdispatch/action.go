package ccdispatch

import (
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// Action is an operation that the caller executes: a *SendDispatch,
// *SendRevoke, *SendProbe or *EndJob.
type Action interface{ isAction() }

// SendDispatch sends a dispatch message to an agent.
type SendDispatch struct {
	Agent   ccnode.ID
	Message ccwire.Dispatch
}

// SendRevoke asks an agent about tasks whose state is unknown. The reply is
// passed to HandleRevokeReply.
type SendRevoke struct {
	Agent   ccnode.ID
	Message ccwire.Revoke
}

// SendProbe requests a report from a silent agent. The report is passed to
// HandleReport.
type SendProbe struct {
	Agent   ccnode.ID
	Message ccwire.Probe
}

// EndJob delivers the outcome of a job. If Release is set, no task of the job
// started and its claim can be released.
type EndJob struct {
	Outcome ccjob.Outcome
	Claim   uint64
	Release bool
}

func (*SendDispatch) isAction() {}
func (*SendRevoke) isAction()   {}
func (*SendProbe) isAction()    {}
func (*EndJob) isAction()       {}
