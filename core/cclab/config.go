package cclab

import (
	"fmt"
	"time"

	"camphorcroft/core/ccshare"
)

// Config describes a fleet, its load and its disturbances.
type Config struct {
	Seed    uint64
	Domains int
	Entries []EntryConfig
	// Agents are spread evenly over the domains. Each has a worker.
	Agents int
	// WorkerCPU is the capacity of a worker in thousandths of a core.
	WorkerCPU int64
	// Speeds are those of the workers, in turn: 2 is twice as fast. Empty is 1 for all.
	Speeds []float64
	// Sizes multiply WorkerCPU, in turn. Empty is 1 for all.
	Sizes []float64
	// Racks is the number of racks, to which the agents belong in turn. AwayFactor is how
	// many times longer a task takes on a rack other than that of its data.
	Racks      int
	AwayFactor float64
	// LocalEntries and RemoteEntries are passed to ccsubset. Zero connects each agent to
	// all entries.
	LocalEntries  int
	RemoteEntries int
	Classes       []Class
	// Traffic are the weights of the domains in the rates of all classes. Empty is equal.
	Traffic []float64
	// Callers is the number of callers by domain, each of which has a connection to one
	// entry. Empty chooses a random entry for each job.
	Callers  []int
	Wave     Wave
	Shifts   []Shift
	HotRacks []HotRack
	Losses   []Loss
	Bursts   []Burst
	Freezes  []Freeze
	// DomainsOut are the domains that are taken out, by number.
	DomainsOut []int
	// CrashFrom and CrashUntil bound the time in which jobs crash workers, since the start
	// of the load. CrashEvery is the mean time between crashes of workers that no job
	// causes. Zero is none.
	CrashFrom, CrashUntil time.Duration
	CrashEvery            time.Duration
	Duration              time.Duration
	// Order and EndTimePlacement are passed to the entries' schedulers.
	Order            ccshare.Settings
	EndTimePlacement bool
	// DemandSummaries is passed to the entries.
	DemandSummaries bool
	// MeasureBytes counts the bytes of the messages, which takes time.
	MeasureBytes bool
	// Admission is passed to the entries.
	Admission bool
	// Forwarding has entries forward jobs to each other.
	Forwarding bool
	// MeasureProcessor adds the time that the scheduler really takes for an event to the
	// event's cost. The result then depends on the machine.
	MeasureProcessor bool
}

// EntryConfig is one entry.
type EntryConfig struct {
	Domain int
	// Share is the part of a core that the entry has.
	Share float64
}

// Class is a kind of job. The rates and sizes are averages.
type Class struct {
	Name      string
	PerSecond float64 // In all domains together.
	Tasks     int
	MaxTasks  int
	Work      time.Duration // Of a task on a worker of speed 1.
	CPU       int64         // Of a task, in thousandths of a core.
	Priority  int
	// TailShare is the share of the jobs whose tasks take TailFactor times Work.
	TailShare, TailFactor float64
	// Crashing is the share of the jobs whose first task crashes its worker, from
	// Config.CrashFrom until Config.CrashUntil.
	Crashing float64
}

// Burst multiplies the rate of a class, or of all if Class is empty.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Class   string
}

// Freeze stops an entry for a time.
type Freeze struct {
	At, For time.Duration
	Entry   int
	// Restart makes the entry start anew afterwards, with an empty state.
	Restart bool
}

// DomainName returns the name of a domain by its number.
func DomainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// rackLabel returns the label of the workers of a rack by its number.
func rackLabel(i int) string { return fmt.Sprintf("rack-%d", i) }

// The costs of an entry's events, as processor time at full speed. They are those of
// BenchmarkEntry in package platform.
const (
	costMessage = 30 * time.Microsecond // A message to or from an agent.
	costAttach  = 250 * time.Microsecond
	costRequest = 200 * time.Microsecond
	costAnswer  = 100 * time.Microsecond
	costTick    = 10 * time.Microsecond
)

const (
	netDelay     = 700 * time.Microsecond
	tickInterval = 10 * time.Millisecond
	// agentTick is the time between two ticks of an agent.
	agentTick = 20 * time.Millisecond
	// attachTimeout, redialMin and redialMax are those of io/cclease.
	attachTimeout = 500 * time.Millisecond
	redialMin     = 20 * time.Millisecond
	redialMax     = 400 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 1500 * time.Millisecond
	// crashDelay is how long after its start a task crashes its worker, and crashDowntime
	// how long the worker is then away.
	crashDelay    = 12 * time.Millisecond
	crashDowntime = 3200 * time.Millisecond
	// stretch and allowance define the latency objective of all classes.
	stretch   = 1.6
	allowance = 60 * time.Millisecond
	// lateFactor times its objective is how long an answer is of use.
	lateFactor = 3
	// readinessInterval and readinessFailures are those of the balancer's checks.
	readinessInterval = time.Second
	readinessFailures = 2
)
