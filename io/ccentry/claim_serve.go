package ccentry

import (
	"encoding/json"
	"time"

	"camphorcroft/core/ccevent"
	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccwire"
)

// replier sends the result of a request.
type replier func(result any, err error)

// called takes a request of another entry. It is false when the method is
// unknown. Parameters are read here, off the control goroutine.
func (p *presence) called(method string, params json.RawMessage, reply replier) bool {
	switch method {
	case ccwire.MethodClaim:
		serve(p, params, reply, p.serveClaim)
	case ccwire.MethodGather:
		serve(p, params, reply, func(_ time.Time, message ccwire.Gather) any {
			return p.authority.Gather(message, p.requester.HeldClaims(message.Slots))
		})
	case ccwire.MethodConsent:
		serve(p, params, reply, func(now time.Time, message ccwire.ConsentRequest) any { return p.rule.HandleRequest(now, message) })
	case ccwire.MethodAwait:
		p.serveAwait(params, reply)
	default:
		return false
	}
	return true
}

// notified takes a notification of another entry.
func (p *presence) notified(method string, params json.RawMessage) {
	var message ccwire.Release
	if method != ccwire.MethodRelease || json.Unmarshal(params, &message) != nil {
		return
	}
	p.entry.do(func(time.Time) { p.authority.Release(message) })
}

// serve reads a request, has it answered on the control goroutine, and writes
// the reply off it.
func serve[M any](p *presence, params json.RawMessage, reply replier, answer func(now time.Time, message M) any) {
	var message M
	if err := json.Unmarshal(params, &message); err != nil {
		reply(nil, err)
		return
	}
	p.entry.do(func(now time.Time) {
		result := answer(now, message)
		go reply(result, nil)
	})
}

func (p *presence) serveClaim(now time.Time, message ccwire.Claim) any {
	reply := p.authority.Claim(now, message, p.rule.ValidUntil())
	if reply.Claim != 0 && reply.Result != ccwire.ClaimAttach {
		reply.Cause = p.entry.cfg.Ring.Record(now, ccevent.Event{
			Kind: ccevent.KindGranted, Job: message.JobID, Index: ccevent.NoIndex, Claim: reply.Claim, Peer: message.Driver.ID,
			Text: string(reply.Result), Cause: ccevent.Cause{Node: message.Driver.ID, Incarnation: message.Driver.Incarnation, Seq: message.Cause},
		})
	}
	return reply
}

// serveAwait answers with a job's outcome as soon as there is one.
func (p *presence) serveAwait(params json.RawMessage, reply replier) {
	var message ccwire.Await
	if err := json.Unmarshal(params, &message); err != nil {
		reply(nil, err)
		return
	}
	p.entry.do(func(now time.Time) {
		if outcome, digest, ok := p.outcomeOf(now, message.JobID); ok && digest == message.Digest {
			go reply(ccwire.AwaitReply{Known: true, Outcome: outcome}, nil)
			return
		}
		job, ok := p.entry.pending[message.JobID]
		if !ok || job.digest != message.Digest || message.Driver != p.entry.self {
			answer, _ := p.requester.ReplyToAwait(message)
			go reply(answer, nil)
			return
		}
		outcome := make(chan ccjob.Outcome, 1)
		job.waiters = append(job.waiters, outcome)
		go p.replyLater(message, outcome, reply)
	})
}

// replyLater waits for an outcome off the control goroutine. A job that did not
// run has none for others: their own submissions may still run it.
func (p *presence) replyLater(message ccwire.Await, outcome <-chan ccjob.Outcome, reply replier) {
	timer := time.NewTimer(time.Duration(message.WaitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case o := <-outcome:
		if !o.NotRun {
			reply(ccwire.AwaitReply{Known: true, Outcome: o}, nil)
			return
		}
		p.entry.do(func(time.Time) {
			answer, _ := p.requester.ReplyToAwait(message)
			go reply(answer, nil)
		})
	case <-timer.C:
		reply(ccwire.AwaitReply{Known: true}, nil)
	case <-p.entry.stopped:
	}
}
