package ccdispatch

import (
	"maps"
	"slices"
	"time"
)

// ServiceStats is what operators see of one service at an entry.
type ServiceStats struct {
	Name           string  `json:"name"`
	Waiting        int     `json:"waitingTasks"`
	Teams          int     `json:"teams"`
	TasksPerSecond float64 `json:"tasksPerSecond"`
	RetryBudget    float64 `json:"retryBudget"`
}

// AgentStats is what operators see of one agent at an entry.
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

// Services lists the services.
func (d *Dispatcher) Services() []ServiceStats {
	figures := make([]ServiceStats, 0, len(d.services))
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		figures = append(figures, ServiceStats{
			Name: name, Waiting: s.queue.Len(), Teams: len(s.teamTasks),
			TasksPerSecond: s.rate.perSecond, RetryBudget: s.budget,
		})
	}
	return figures
}

// Agents lists the agents.
func (d *Dispatcher) Agents(now time.Time) []AgentStats {
	figures := make([]AgentStats, 0, len(d.ordered))
	for _, a := range d.ordered {
		figures = append(figures, AgentStats{
			Node: string(a.ref.ID), Service: a.service, Domain: a.domain,
			Up: a.up, Leaving: a.leaving, Ejected: a.health.Ejected(now), Silent: a.silent(now),
			Version: a.version, Slots: a.slots, Free: a.free, InFlight: len(a.out),
			TypicalRun: a.speed.Typical(), SpeedSamples: a.speed.Samples(),
		})
	}
	return figures
}

// UsableAgents returns how many agents are connected and not leaving.
func (d *Dispatcher) UsableAgents() int {
	usable := 0
	for _, a := range d.ordered {
		if a.up && !a.leaving {
			usable++
		}
	}
	return usable
}
