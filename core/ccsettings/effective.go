// Package ccsettings holds the operators' settings: their schema, their checks,
// and how the sections of many teams become the one version in force.
//
// # Usage
//
// Everything outside this package reads an Effective, which is the merged
// result of one version and is never changed once made.
package ccsettings

import "time"

// Effective is the merged settings of one version. Treat it as read-only.
type Effective struct {
	Version  uint64             `json:"version" yaml:"version"`
	Services map[string]Service `json:"services" yaml:"services"`
	Domains  map[string]Domain  `json:"domains" yaml:"domains"`
	Teams    map[string]Team    `json:"teams" yaml:"teams"`
	Fleet    Fleet              `json:"fleet" yaml:"fleet"`
}

// Service is a kind of task that targets serve, with its guards.
type Service struct {
	// Slots is how many tasks a target runs at once, unless its agent's own
	// settings say less.
	Slots int `json:"slots" yaml:"slots" validate:"min=1,max=4096"`
	// Connections is how many connections an agent opens to its target.
	Connections int `json:"connections" yaml:"connections" validate:"min=1,max=65536"`
	// QueueTasks is how many tasks wait at one entry before it refuses.
	QueueTasks int `json:"queueTasks" yaml:"queueTasks" validate:"min=1,max=10000000"`
	// RetryBudget is how many sends beyond the first a task may take, as a share
	// of the tasks sent.
	RetryBudget float64 `json:"retryBudget" yaml:"retryBudget" validate:"min=0,max=1"`
	// EjectFailureShare is the share of failed tasks at which a target is
	// ejected. Zero never ejects.
	EjectFailureShare float64 `json:"ejectFailureShare" yaml:"ejectFailureShare" validate:"min=0,max=1"`
	// EjectFor is how long an ejected target gets no work, before it returns
	// slowly.
	EjectFor Duration `json:"ejectFor" yaml:"ejectFor"`
	// MaxDeadline is the longest deadline that a client may ask for.
	MaxDeadline Duration `json:"maxDeadline" yaml:"maxDeadline"`
	// MaxPayloadBytes bounds one task's payload.
	MaxPayloadBytes int `json:"maxPayloadBytes" yaml:"maxPayloadBytes" validate:"min=1,max=1048576"`
	// Policy names the placement policy.
	Policy string `json:"policy" yaml:"policy" validate:"oneof=lateBinding twoChoices roundRobin"`
	// Guards turns ejection and the retry budget on.
	Guards bool `json:"guards" yaml:"guards"`
	// SubsetTargets bounds how many targets one entry uses. Zero is all of them.
	SubsetTargets int `json:"subsetTargets" yaml:"subsetTargets" validate:"min=0,max=100000"`
	// PreferNear makes an entry choose targets of its own failure domain first,
	// when they are otherwise equal.
	PreferNear bool `json:"preferNear" yaml:"preferNear"`
	// Weights scales the share of targets by failure domain. A domain that is
	// not named has weight 1.
	Weights map[string]float64 `json:"weights,omitempty" yaml:"weights,omitempty"`
}

// Domain is one failure domain.
type Domain struct {
	Region string `json:"region" yaml:"region"`
	// Out is true while no task may start in the domain.
	Out bool `json:"out" yaml:"out"`
	// RampUp is over how long a domain that comes back returns to full share.
	RampUp Duration `json:"rampUp" yaml:"rampUp"`
}

// Team is one customer's share.
type Team struct {
	// Share is the team's weight among the teams that have work waiting.
	Share float64 `json:"share" yaml:"share" validate:"gt=0,max=1000000"`
	// MaxTasks bounds the tasks that the team has waiting or running at one entry.
	// Zero gives no bound of its own.
	MaxTasks int `json:"maxTasks" yaml:"maxTasks" validate:"min=0,max=10000000"`
}

// Fleet holds the settings of the fleet itself.
type Fleet struct {
	Cells     int    `json:"cells" yaml:"cells" validate:"min=1,max=100000"`
	LogLevel  string `json:"logLevel" yaml:"logLevel" validate:"oneof=debug info error"`
	MaxClaims int    `json:"maxClaims" yaml:"maxClaims" validate:"min=1000,max=100000000"`
	// Retention is how long answers and started tasks are remembered.
	Retention Duration `json:"retention" yaml:"retention"`
	// ClockMargin is how far any two clocks of the fleet may be apart, and a
	// client's ahead of an entry's before its jobs have to wait.
	ClockMargin Duration `json:"clockMargin" yaml:"clockMargin"`
}

// AgentView is the part of the settings that an agent needs. It leaves out the
// teams, which are most of the bytes.
type AgentView struct {
	Version  uint64             `json:"version"`
	Services map[string]Service `json:"services"`
	Domains  map[string]Domain  `json:"domains"`
	Fleet    Fleet              `json:"fleet"`
}

// AgentView returns the agent's part of the settings.
func (e *Effective) AgentView() *AgentView {
	return &AgentView{Version: e.Version, Services: e.Services, Domains: e.Domains, Fleet: e.Fleet}
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
