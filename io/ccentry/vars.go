package ccentry

import (
	"time"

	"github.com/gin-gonic/gin"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccjob"
	"camphorcroft/io/ccmetric"
	"camphorcroft/io/ccstore"
)

// varsState is what the control goroutine tells of itself.
type varsState struct {
	Version           uint64                    `json:"version"`
	VersionAgeSeconds float64                   `json:"versionAgeSeconds"`
	Draining          bool                      `json:"draining"`
	Pending           int                       `json:"pendingJobs"`
	Answers           int                       `json:"keptAnswers"`
	AnswerBytes       int                       `json:"keptAnswerBytes"`
	Dispatch          ccdispatch.Counts         `json:"dispatch"`
	Claims            claimsState               `json:"claims"`
	Services          []ccdispatch.ServiceStats `json:"services"`
	Agents            []ccdispatch.AgentStats   `json:"agents"`
}

// claimsState is what an entry tells of the claims.
type claimsState struct {
	// MessagesSent counts messages between entries for the sake of single jobs,
	// with the replies.
	MessagesSent uint64 `json:"messagesSent"`
	Known        int    `json:"known"`      // Claims in the authority's table.
	ReadySlots   int    `json:"readySlots"` // Hash slots in which this entry may grant.
	Epoch        uint64 `json:"epoch"`      // Of the roster.
}

// claimsState is empty where another claimer stands in for the claims.
func (e *Entry) claimsState() claimsState {
	p, ok := e.claims.(*presence)
	if !ok {
		return claimsState{}
	}
	return claimsState{
		MessagesSent: p.jobMessages, Known: p.authority.Len(), ReadySlots: p.authority.ReadySlots(), Epoch: p.authority.Epoch(),
	}
}

func (e *Entry) newMetrics() *ccmetric.Set {
	set := ccmetric.NewSet(string(e.self.ID))
	set.Func("domain", func() any { return e.cfg.Domain })
	set.Map("refusals")
	set.Map("peerRequests")
	set.Map("outcomes")
	if store, counts := e.cfg.Store.(storeCounter); counts {
		set.Func("storeCallsByKind", func() any { return store.Counts() })
	}
	set.Func("entry", func() any {
		var state varsState
		e.ask(func(now time.Time) { state = e.varsState(now) })
		return state
	})
	return set
}

// storeCounter is a store that counts the calls to it.
type storeCounter interface {
	Counts() ccstore.Counts
}

// countOutcome counts a job's end by its kind, or as complete.
func (e *Entry) countOutcome(outcome *ccjob.Outcome) {
	name := string(outcome.Kind)
	if outcome.State == ccjob.StateComplete {
		name = string(outcome.State)
	}
	e.metrics.Map("outcomes").Add(name, 1)
}

func (e *Entry) varsState(now time.Time) varsState {
	return varsState{
		Version:           e.version,
		VersionAgeSeconds: e.versionAge(now).Seconds(),
		Draining:          e.draining,
		Pending:           len(e.pending),
		Answers:           e.answers.Len(),
		AnswerBytes:       e.answers.Bytes(),
		Dispatch:          e.dispatcher.Counts(),
		Claims:            e.claimsState(),
		Services:          e.dispatcher.Services(),
		Agents:            e.dispatcher.Agents(now),
	}
}

// versionAge returns for how long the settings have been in force, or zero when
// none have come yet.
func (e *Entry) versionAge(now time.Time) time.Duration {
	if e.versionSince.IsZero() {
		return 0
	}
	return now.Sub(e.versionSince)
}

func (e *Entry) getVars(c *gin.Context) {
	e.metrics.ServeHTTP(c.Writer, c.Request)
}
