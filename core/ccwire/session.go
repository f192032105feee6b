package ccwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccresource"
	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccsubset"
)

// MessageKind is the kind of a message in a session. The agent dials.
type MessageKind byte

const (
	// MessageIdentify asks which entry answers at an address. It has no fields.
	MessageIdentify MessageKind = iota + 1
	// MessageIdentifyReply is the entry's IdentifyReply.
	MessageIdentifyReply
	// MessageAttach is the agent's Attach.
	MessageAttach
	// MessageAttachReply is the entry's AttachReply, sent before its first Orders.
	MessageAttachReply
	// MessageReport is the agent's RunReport.
	MessageReport
	// MessageOrders is the entry's Orders.
	MessageOrders
)

// TaskRef identifies one task of one job.
type TaskRef struct {
	Job   string `cbor:"1,keyasint"`
	Index int    `cbor:"2,keyasint"`
}

// RunRef identifies one run of a task for good, among all that one incarnation of an entry
// has ordered.
type RunRef struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Order is the number of the order that started the run.
	Order uint64 `cbor:"2,keyasint"`
}

// RunOutcome is how a run of a task ended.
type RunOutcome string

const (
	// RunDone is a run that completed its task.
	RunDone RunOutcome = "done"
	// RunFailed is a run that failed, whether by the task's fault or the worker's.
	RunFailed RunOutcome = "failed"
	// RunStopped is a run that was stopped on request.
	RunStopped RunOutcome = "stopped"
	// RunLost is a run that ended with its lease or with its worker.
	RunLost RunOutcome = "lost"
	// RunNoCapacity is an order that did not start because the worker was full.
	RunNoCapacity RunOutcome = "noRoom"
	// RunRefused is an order that did not start for another reason.
	RunRefused RunOutcome = "refused"
	// RunOtherWorker is an order that did not start because the worker is another one than the
	// order names. The same report, or one before it, describes the present one.
	RunOtherWorker RunOutcome = "otherWorker"
)

// Attach opens a session. It replaces any earlier session of the same agent: runs
// of this incarnation that it does not list have ended.
type Attach struct {
	Node ccnode.Ref `cbor:"1,keyasint"`
	// Runs lists the runs that this incarnation of the entry has ordered and that have not
	// ended.
	Runs   []RunRef  `cbor:"7,keyasint"`
	Report RunReport `cbor:"3,keyasint"`
	// EntriesDigest is the ccsubset.Digest of the entries that the agent knows. An entry
	// that knows the same ones need not send them.
	EntriesDigest uint64 `cbor:"4,keyasint"`
	// Session is that of the IdentifyReply.
	Session uint64 `cbor:"5,keyasint"`
	// PreviousSession is the latest session that this incarnation of the agent has opened
	// with this incarnation of the entry, or 0. Report.HandledSequence is that of its last
	// orders.
	PreviousSession uint64 `cbor:"6,keyasint"`
	// PlanPieces says that the agent sends and receives plans in pieces. Others get them whole.
	PlanPieces bool `cbor:"8,keyasint,omitempty"`
}

// IdentifyReply names the entry that answers at an address.
type IdentifyReply struct {
	Node ccnode.Ref `cbor:"1,keyasint"`
	// Session is the number of the session that the agent may open on this connection. It
	// rises within an incarnation of the entry, and is at least 1. An agent gives up a
	// request for a session before it begins the next one, so of two requests of an agent,
	// the one with the higher number is the later one, whichever arrives first.
	Session uint64 `cbor:"2,keyasint"`
}

// AttachReply accepts a session.
type AttachReply struct {
	Node ccnode.Ref `cbor:"1,keyasint"`
	// Session is that of the Attach.
	Session uint64 `cbor:"2,keyasint"`
	// PriorToken is the highest fencing token that the entry knows of the agent's other
	// incarnations. Zero is none.
	PriorToken uint64 `cbor:"10,keyasint,omitempty"`
}

// RunResult tells an entry that a run of its task has ended.
type RunResult struct {
	Task    TaskRef    `cbor:"1,keyasint"`
	Order   uint64     `cbor:"6,keyasint"` // That of the RunRef.
	Outcome RunOutcome `cbor:"3,keyasint"`
	Reason  string     `cbor:"4,keyasint,omitempty"`
	// RunMS is how long the run took, in milliseconds.
	RunMS int64 `cbor:"5,keyasint,omitempty"`
}

// Run returns the run that has ended.
func (r RunResult) Run() RunRef { return RunRef{Task: r.Task, Order: r.Order} }

// Progress tells an entry what percentage of a running task was complete
// ElapsedMS milliseconds after the start of the run.
type Progress struct {
	Task      TaskRef `cbor:"1,keyasint"`
	Percent   int     `cbor:"2,keyasint"`
	ElapsedMS int64   `cbor:"3,keyasint"`
	Order     uint64  `cbor:"4,keyasint"` // That of the RunRef.
}

// Run returns the run that the progress is of.
func (p Progress) Run() RunRef { return RunRef{Task: p.Task, Order: p.Order} }

// WorkerInfo describes a worker to the entries that use it.
type WorkerInfo struct {
	Domain   string            `cbor:"1,keyasint"`
	Service  string            `cbor:"2,keyasint"`
	Labels   []string          `cbor:"3,keyasint"`
	Capacity ccresource.Amount `cbor:"4,keyasint"`
}

// Number identifies what is placed by: the worker's failure domain, service and labels. It is
// never 0. Lives of a worker that are alike in these have the same number. Capacity has no part
// in it, since the agent compares an order with what is free.
func (w WorkerInfo) Number() uint32 {
	digest := xxhash.New()
	for _, text := range append([]string{w.Domain, w.Service}, w.Labels...) {
		// The length keeps texts apart.
		_ = binary.Write(digest, binary.BigEndian, uint32(len(text)))
		_, _ = digest.WriteString(text)
	}
	return max(uint32(digest.Sum64()), 1)
}

const (
	// MaxWorkerText limits the text of a WorkerInfo, in bytes.
	MaxWorkerText = 1 << 10
	// labelBytes is what a label takes beside its text.
	labelBytes = 16
)

// TextBytes returns what the worker's names and labels take.
func (w WorkerInfo) TextBytes() int {
	bytes := len(w.Domain) + len(w.Service)
	for _, label := range w.Labels {
		bytes += len(label) + labelBytes
	}
	return bytes
}

// RunReport is the agent's state as reported to one entry.
type RunReport struct {
	// ClockMS is the agent's clock, in milliseconds since its start. The entry
	// echoes the latest value in its orders.
	ClockMS int64 `cbor:"1,keyasint"`
	// HandledSequence is the sequence number of the last orders that Free takes
	// into account.
	HandledSequence uint64            `cbor:"2,keyasint"`
	Free            ccresource.Amount `cbor:"3,keyasint"`
	// Worker is sent once per session and whenever it changes.
	Worker *WorkerInfo `cbor:"4,keyasint,omitempty"`
	// PriorRunsEnded reports whether all runs of earlier incarnations of the agent
	// have ended.
	PriorRunsEnded bool `cbor:"5,keyasint,omitempty"`
	// Pace is the ratio of actual to estimated run time at the worker. Zero means
	// that it is unknown.
	Pace float64 `cbor:"6,keyasint,omitempty"`
	// ClosedReason says why the worker accepts no starts. It is empty if the worker
	// accepts them.
	ClosedReason string        `cbor:"7,keyasint,omitempty"`
	Results      []RunResult   `cbor:"8,keyasint,omitempty"`
	Progress     []Progress    `cbor:"9,keyasint,omitempty"`
	PlanRevision uint64        `cbor:"10,keyasint,omitempty"`
	Plan         *ccroute.Plan `cbor:"11,keyasint,omitempty"`
	// Crashes are the crashes of the worker that the session has not been told of.
	Crashes []CrashReport `cbor:"12,keyasint,omitempty"`
	// PlanVersion is the operators' version of the plan that the agent has.
	PlanVersion uint64 `cbor:"13,keyasint,omitempty"`
	// Token is the agent's fencing token. Zero means that it has not changed since the
	// report before.
	Token uint64 `cbor:"20,keyasint,omitempty"`
	// DomainOutRevision is the revision of the plan by which the agent's failure domain is
	// out. Zero means that it is not known to be out.
	DomainOutRevision uint64 `cbor:"21,keyasint,omitempty"`
	// Offer says for which jobs a part of Free is reserved for the entry. It is only set for
	// entries that send a Summary. Nil is no reservation.
	Offer *Offer `cbor:"22,keyasint,omitempty"`
	// PlanPiece answers a PlanWant of the entry, and PlanWant asks for the next piece of its plan.
	PlanPiece *PlanPiece    `cbor:"23,keyasint,omitempty"`
	PlanWant  *PlanPosition `cbor:"24,keyasint,omitempty"`
}

// Offer is a reservation for the jobs of an entry that are at least as urgent. It ends with
// the entry's next orders that echo the clock of the report, or after 20 ms.
type Offer struct {
	_ struct{} `cbor:",toarray"`
	// Late is true if it is also for jobs that can only end after their objectives.
	Late bool
	// Priority is the highest number of the jobs' priorities, among those that are late if
	// Late is true.
	Priority int
}

// StartOrder asks an agent to start a task.
type StartOrder struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Order numbers the start orders of an incarnation of the entry, from 1. The orders to
	// one agent rise: one that is not above those before it was delivered before.
	Order uint64 `cbor:"8,keyasint"`
	// Payload is empty if it is that of the order before it in the same message, whose
	// task belongs to the same job.
	Payload string            `cbor:"3,keyasint,omitempty"`
	Need    ccresource.Amount `cbor:"4,keyasint"`
	// EstimateMS is the expected run time of the task, in milliseconds.
	EstimateMS int64 `cbor:"5,keyasint,omitempty"`
	// Class identifies the kind of job. Crashes is the number of crashes of workers in
	// which the task was running. An agent only reports them when its worker crashes.
	Class   uint32 `cbor:"6,keyasint,omitempty"`
	Crashes int    `cbor:"7,keyasint,omitempty"`
	// Worker is the WorkerInfo.Number of the worker that the task was placed for. An agent
	// refuses the order if its worker has another one by now. Zero names none: entries that
	// don't know the field send no number.
	Worker uint32 `cbor:"9,keyasint,omitempty"`
}

// Demand tells an agent what an entry would start if it had the capacity. The agent offers
// capacity that falls free to the entry with the most urgent demand.
type Demand struct {
	// Late is true if the job can only end after its objective.
	Late     bool `cbor:"1,keyasint,omitempty"`
	Priority int  `cbor:"2,keyasint,omitempty"` // Lower values go first.
	// SlackMS is how much later the job could start without missing its objective, in
	// milliseconds. In the fair order it is the job's rank relative to the time of sending.
	SlackMS int64             `cbor:"3,keyasint,omitempty"`
	Need    ccresource.Amount `cbor:"4,keyasint"`
	Tasks   int               `cbor:"5,keyasint"` // How many tasks wait, at least 1.
}

// Orders carries the starts and stops that an entry requests from an agent.
// Without any it is a heartbeat.
type Orders struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// EchoMS is the latest ClockMS that the entry has received from this agent. An
	// agent starts nothing for an entry whose echo is too old.
	EchoMS int64        `cbor:"2,keyasint"`
	Starts []StartOrder `cbor:"3,keyasint,omitempty"`
	Stops  []RunRef     `cbor:"13,keyasint,omitempty"`
	// CapacityIntervalMS is the minimum interval, in milliseconds, that the entry
	// wants between two reports that only update free capacity. Zero leaves the
	// previous value in force.
	CapacityIntervalMS int64 `cbor:"5,keyasint,omitempty"`
	// Entries lists all entries, in the first message of a session with an agent that
	// doesn't know them. EntriesJoined and EntriesLeft are the changes since the message
	// before.
	Entries       []ccsubset.Entry `cbor:"6,keyasint,omitempty"`
	EntriesJoined []ccsubset.Entry `cbor:"7,keyasint,omitempty"`
	EntriesLeft   []netip.AddrPort `cbor:"8,keyasint,omitempty"`
	PlanRevision  uint64           `cbor:"9,keyasint,omitempty"`
	Plan          *ccroute.Plan    `cbor:"10,keyasint,omitempty"`
	// Demand is the most urgent queued job that the agent's worker could run. Nil is none.
	Demand *Demand `cbor:"12,keyasint,omitempty"`
	// Summary describes all queued jobs that the agent's worker could run, as ccdemand packs
	// it. Empty is no summary: Demand is then all that is known. Agents that don't know the
	// field use Demand.
	Summary []byte `cbor:"15,keyasint,omitempty"`
	// WantPlan asks for the agent's plan if it is newer than PlanRevision.
	WantPlan bool `cbor:"11,keyasint,omitempty"`
	// PlanPiece and PlanWant take the place of Plan and WantPlan with agents that know pieces.
	PlanPiece *PlanPiece    `cbor:"16,keyasint,omitempty"`
	PlanWant  *PlanPosition `cbor:"17,keyasint,omitempty"`
	// Domain tells the agent of its failure domain: that it is out, with each plan that says
	// so, and that it is back. Nil is nothing new.
	Domain *DomainState `cbor:"14,keyasint,omitempty"`
}

// DomainState says whether a failure domain is taken out.
type DomainState struct {
	Domain string `cbor:"1,keyasint"`
	Out    bool   `cbor:"2,keyasint,omitempty"`
	// Revision is that of the plan that says so. A later one prevails.
	Revision uint64 `cbor:"3,keyasint"`
}

// FillPayloads sets the payloads that were left out because they are the same as that of
// the order before.
func (o *Orders) FillPayloads() {
	for i := 1; i < len(o.Starts); i++ {
		if current, previous := &o.Starts[i], o.Starts[i-1]; current.Payload == "" && current.Task.Job == previous.Task.Job {
			current.Payload = previous.Payload
		}
	}
}

// OmitPayloads leaves out the payloads that FillPayloads sets again.
func (o *Orders) OmitPayloads() {
	for i := len(o.Starts) - 1; i > 0; i-- {
		if o.Starts[i].Task.Job == o.Starts[i-1].Task.Job {
			o.Starts[i].Payload = ""
		}
	}
}
