// Package ccevent records the events of the processes of a fleet and merges the
// records of many processes into one timeline.
//
// Each process keeps a bounded ring buffer of typed events. A message between
// processes carries the sequence number of its sender's newest event, and the
// events that it triggers refer to that number as their cause. Causes order the
// events of different processes even when their clocks differ.
//
// # Usage
//
//	ring := ccevent.NewRing(ccevent.RingConfig{Node: self, Size: 65536})
//	ring.Record(now, ccevent.Event{Kind: ccevent.KindStarted, Job: id, Index: 3})
package ccevent

import (
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// NoIndex is the Index of an event that does not concern a single task.
const NoIndex = -1

// Event is one action or observation of a process.
type Event struct {
	Node   ccnode.Ref `json:"node"`
	Seq    uint64     `json:"seq"`
	At     time.Time  `json:"at"`
	Kind   Kind       `json:"kind"`
	Job    ccjob.ID   `json:"job,omitempty"`
	Index  int        `json:"index"`           // The task, or NoIndex.
	Count  int        `json:"count,omitempty"` // How many tasks the event covers, if more than one.
	Claim  uint64     `json:"claim,omitempty"`
	Team   string     `json:"team,omitempty"`
	Domain string     `json:"domain,omitempty"`
	Peer   ccnode.ID  `json:"peer,omitempty"` // The other process, if any.
	Cause  Cause      `json:"cause,omitzero"`
	Text   string     `json:"text,omitempty"` // A short reason. Never a payload.
}

// Cause refers to an event of another process that happened before. A zero
// Incarnation means the newest incarnation of that process at the time.
type Cause struct {
	Node        ccnode.ID          `json:"node"`
	Incarnation ccnode.Incarnation `json:"incarnation,omitempty"`
	Seq         uint64             `json:"seq"`
}

// Kind is the type of an event.
type Kind string

// Kinds of events at entries.
const (
	KindAccepted  Kind = "accepted"  // A job was read and passed its checks.
	KindClaimed   Kind = "claimed"   // The entry may drive the job.
	KindGranted   Kind = "granted"   // The authority granted a claim.
	KindAttached  Kind = "attached"  // The job is driven elsewhere; its outcome is awaited here.
	KindSent      Kind = "sent"      // Tasks were dispatched to an agent.
	KindReturned  Kind = "returned"  // An agent returned tasks that had not started.
	KindAnswered  Kind = "answered"  // A task's answer arrived.
	KindRevoked   Kind = "revoked"   // Tasks were revoked before they started.
	KindRecovered Kind = "recovered" // The entry took a job over from a lost driver.
	KindCompleted Kind = "completed" // A job was answered completely.
	KindRefused   Kind = "refused"   // A job was refused.
	KindFailed    Kind = "failed"    // A job failed.
	KindCanceled  Kind = "canceled"  // A client canceled a job.
	KindEjected   Kind = "ejected"   // A target temporarily receives no work.
	KindReadmit   Kind = "readmitted"
	KindAgentUp   Kind = "agentUp"
	KindAgentDown Kind = "agentDown"
	KindCutOff    Kind = "cutOff" // The entry must not continue without the store.
	KindOutage    Kind = "outage" // The store is down for every process; work continues.
)

// Kinds of events at agents.
const (
	KindStarted  Kind = "started"  // A task was passed to the target.
	KindFinished Kind = "finished" // The target answered.
	KindBounced  Kind = "bounced"  // A task was returned without being started.
	KindFenced   Kind = "fenced"   // A claim was fenced.
	KindPaused   Kind = "paused"   // The process noticed that it had been paused.
)

// Kinds of events at any process.
const (
	KindUp         Kind = "up"
	KindDown       Kind = "down"
	KindDraining   Kind = "draining"
	KindVersion    Kind = "version" // A settings version took effect in this process.
	KindLeaseTaken Kind = "leaseTaken"
	KindLeaseLost  Kind = "leaseLost"
	KindRoster     Kind = "roster" // A new roster of entries was seen.
	KindCell       Kind = "cell"   // A new record of a cell was seen.
)
