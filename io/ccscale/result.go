package ccscale

import (
	"slices"
	"time"

	"camphorcroft/core/ccsettings"
)

// Result is what one size of fleet costs.
type Result struct {
	Agents  int `json:"agents"`
	Entries int `json:"entries"`
	Cells   int `json:"cells"`

	// Of the idle fleet.
	StoreReadsPerSecond  float64 `json:"storeReadsPerSecond"`
	StoreWritesPerSecond float64 `json:"storeWritesPerSecond"`
	Member               Traffic `json:"member"` // Mean of the agents that lead nothing.
	Lead                 Traffic `json:"lead"`   // Mean of the leads.
	ProcessorShare       float64 `json:"processorShare"`
	MemoryBytes          uint64  `json:"memoryBytes"`

	Changes Latency `json:"changes"` // With a sound store.
	Failing Latency `json:"failing"` // With a share of its calls failing.
	Outage  Outage  `json:"outage"`
	Restart Restart `json:"restart"`
}

// Traffic is control traffic of one agent, in bytes a second.
type Traffic struct {
	In  float64 `json:"inBytesPerSecond"`
	Out float64 `json:"outBytesPerSecond"`
}

// Latency is from the call that proposes a change to its being in force, over
// all nodes and changes.
type Latency struct {
	Changes int                 `json:"changes"`
	P50     ccsettings.Duration `json:"p50"`
	P99     ccsettings.Duration `json:"p99"`
	Max     ccsettings.Duration `json:"max"`
	// Missing counts nodes that a change did not reach.
	Missing int `json:"missing"`
}

// Outage is what became of versions while the store was down.
type Outage struct {
	Length   ccsettings.Duration `json:"length"`
	Reverted int                 `json:"reverted"` // Nodes that went back to an older version, ever.
	// Caught is how long after the outage a change took to be in force everywhere.
	Caught ccsettings.Duration `json:"caught"`
}

// Restart is what a part of the agents costs that restart at once.
type Restart struct {
	Agents         int                 `json:"agents"`
	PeakReads      float64             `json:"peakReadsPerSecond"`
	PeakWrites     float64             `json:"peakWritesPerSecond"`
	WholeAgain     ccsettings.Duration `json:"wholeAgain"` // Until each entry was connected to each agent.
	SecondsWatched int                 `json:"secondsWatched"`
}

func latencyOf(times []time.Duration, changes, missing int) Latency {
	latency := Latency{Changes: changes, Missing: missing}
	if len(times) == 0 {
		return latency
	}
	slices.Sort(times)
	latency.P50 = ccsettings.Duration(times[len(times)/2])
	latency.P99 = ccsettings.Duration(times[len(times)*99/100])
	latency.Max = ccsettings.Duration(times[len(times)-1])
	return latency
}
