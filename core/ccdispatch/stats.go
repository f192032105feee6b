package ccdispatch

import (
	"maps"
	"slices"
	"time"
)

// ServiceStats is the state of one service at an entry, for operators.
type ServiceStats struct {
	Name           string  `json:"name"`
	Waiting        int     `json:"waitingTasks"`
	Teams          int     `json:"teams"`
	TasksPerSecond float64 `json:"tasksPerSecond"`
	RetryBudget    float64 `json:"retryBudget"`
}

// AgentStats is the state of one agent as an entry sees it, for operators.
type AgentStats struct {
	Node         string        `json:"node"`
	Service      string        `json:"service"`
	Domain       string        `json:"domain"`
	Up           bool          `json:"up"`
	Leaving      bool          `json:"leaving"`
	Ejected      bool          `json:"ejected"`
	Silent       bool          `json:"silent"`
	Version      uint64        `json:"version"`
	Slots        int           `json:"slots"`
	Free         int           `json:"free"`
	InFlight     int           `json:"out"`
	TypicalRun   time.Duration `json:"typicalRunNanoseconds"`
	SpeedSamples int           `json:"speedSamples"`
}

// Services returns the state of all services, sorted by name.
func (d *Dispatcher) Services() []ServiceStats {
	stats := make([]ServiceStats, 0, len(d.services))
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		stats = append(stats, ServiceStats{
			Name: name, Waiting: s.queue.Len(), Teams: len(s.teamTasks),
			TasksPerSecond: s.completionRate.perSecond, RetryBudget: s.retryBudget,
		})
	}
	return stats
}

// Agents returns the state of all agents, sorted by ID.
func (d *Dispatcher) Agents(now time.Time) []AgentStats {
	stats := make([]AgentStats, 0, len(d.sortedAgents))
	for _, a := range d.sortedAgents {
		stats = append(stats, AgentStats{
			Node: string(a.ref.ID), Service: a.service, Domain: a.domain,
			Up: a.up, Leaving: a.leaving, Ejected: a.health.Ejected(now), Silent: a.silent(now),
			Version: a.version, Slots: a.slots, Free: a.free, InFlight: len(a.inFlight),
			TypicalRun: a.speed.TypicalRunTime(), SpeedSamples: a.speed.Samples(),
		})
	}
	return stats
}

// UsableAgents returns the number of agents that are connected and not leaving.
func (d *Dispatcher) UsableAgents() int {
	usable := 0
	for _, a := range d.sortedAgents {
		if a.up && !a.leaving {
			usable++
		}
	}
	return usable
}
