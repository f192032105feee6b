// Package ccsettings defines the operators' settings: their schema, their
// validation, and how the sections of many teams are merged into one version.
//
// # Usage
//
// Other packages read the settings from an Effective, the merged result of one
// version, which is immutable.
package ccsettings

import "time"

// Effective holds the merged settings of one version. Treat it as read-only.
type Effective struct {
	Version  uint64             `json:"version" yaml:"version"`
	Services map[string]Service `json:"services" yaml:"services"`
	Domains  map[string]Domain  `json:"domains" yaml:"domains"`
	Teams    map[string]Team    `json:"teams" yaml:"teams"`
	Fleet    Fleet              `json:"fleet" yaml:"fleet"`
}

// Service holds the settings of one service, which is a kind of task that targets
// run: its limits, its placement policy and its overload protection.
type Service struct {
	// Slots is the maximum number of tasks that a target runs at once. The
	// configuration of its agent can lower it.
	Slots int `json:"slots" yaml:"slots" validate:"min=1,max=4096"`
	// Connections is the number of connections that an agent opens to its target.
	Connections int `json:"connections" yaml:"connections" validate:"min=1,max=65536"`
	// QueueTasks is the maximum number of tasks queued at one entry. The entry
	// refuses further tasks.
	QueueTasks int `json:"queueTasks" yaml:"queueTasks" validate:"min=1,max=10000000"`
	// RetryBudget limits how often tasks are sent again, as a share of the tasks
	// sent.
	RetryBudget float64 `json:"retryBudget" yaml:"retryBudget" validate:"min=0,max=1"`
	// EjectFailureShare is the share of failed tasks at which a target is
	// ejected. Zero disables ejection.
	EjectFailureShare float64 `json:"ejectFailureShare" yaml:"ejectFailureShare" validate:"min=0,max=1"`
	// EjectFor is how long an ejected target gets no tasks, before it returns
	// gradually.
	EjectFor Duration `json:"ejectFor" yaml:"ejectFor"`
	// MaxDeadline is the longest deadline that a client may request.
	MaxDeadline Duration `json:"maxDeadline" yaml:"maxDeadline"`
	// MaxPayloadBytes is the maximum size of one task's payload.
	MaxPayloadBytes int `json:"maxPayloadBytes" yaml:"maxPayloadBytes" validate:"min=1,max=1048576"`
	// Policy names the placement policy.
	Policy string `json:"policy" yaml:"policy" validate:"oneof=lateBinding twoChoices roundRobin"`
	// Guards enables ejection and the retry budget.
	Guards bool `json:"guards" yaml:"guards"`
	// SubsetTargets is the maximum number of targets that one entry uses. Zero
	// means all targets.
	SubsetTargets int `json:"subsetTargets" yaml:"subsetTargets" validate:"min=0,max=100000"`
	// PreferNear makes an entry prefer targets in its own failure domain among
	// otherwise equal ones.
	PreferNear bool `json:"preferNear" yaml:"preferNear"`
	// Weights scales the share of targets by failure domain. A domain without an
	// entry has weight 1.
	Weights map[string]float64 `json:"weights,omitempty" yaml:"weights,omitempty"`
}

// Domain holds the settings of one failure domain.
type Domain struct {
	Region string `json:"region" yaml:"region"`
	// Out takes the domain out of service: no task may start in it.
	Out bool `json:"out" yaml:"out"`
	// RampUp is how long a domain that returns to service takes to reach its full
	// share.
	RampUp Duration `json:"rampUp" yaml:"rampUp"`
}

// Team holds the fair share and the task limit of one customer.
type Team struct {
	// Share is the team's weight among the teams with queued tasks.
	Share float64 `json:"share" yaml:"share" validate:"gt=0,max=1000000"`
	// MaxTasks is the maximum number of the team's tasks queued or running at one
	// entry. Zero sets no limit for the team.
	MaxTasks int `json:"maxTasks" yaml:"maxTasks" validate:"min=0,max=10000000"`
}

// Fleet holds the settings that apply to the whole fleet.
type Fleet struct {
	Cells     int    `json:"cells" yaml:"cells" validate:"min=1,max=100000"`
	LogLevel  string `json:"logLevel" yaml:"logLevel" validate:"oneof=debug info error"`
	MaxClaims int    `json:"maxClaims" yaml:"maxClaims" validate:"min=1000,max=100000000"`
	// Retention is how long answers and records of started tasks are kept.
	Retention Duration `json:"retention" yaml:"retention"`
	// ClockMargin is the maximum difference between any two clocks of the fleet. It
	// is also how far a client's clock may be ahead of an entry's before the jobs
	// of the client have to wait.
	ClockMargin Duration `json:"clockMargin" yaml:"clockMargin"`
}

// AgentView is the part of the settings that an agent needs. It omits the teams,
// which take most of the bytes.
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
