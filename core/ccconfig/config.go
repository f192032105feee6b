// Package ccconfig reads the configuration file of a process, which gives its
// identity, its location and its addresses.
//
// Everything else comes from the settings in the store. The file is YAML with
// camel-case keys. An unknown key is an error that names the file, line and key.
//
// # Usage
//
//	cfg, err := ccconfig.Parse("entry.yaml", data)
package ccconfig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"camphorcroft/core/ccnode"
)

// Config is the configuration of an entry or an agent.
type Config struct {
	Node   ccnode.ID `yaml:"node" validate:"required"`
	Domain string    `yaml:"domain" validate:"required"`
	Rack   string    `yaml:"rack"`
	// Listen is the address for connections from other processes of the fleet.
	Listen netip.AddrPort `yaml:"listen" validate:"required"`
	// HTTP is the address at which an entry serves clients, and at which both entries
	// and agents serve health and metrics.
	HTTP     netip.AddrPort `yaml:"http" validate:"required"`
	Store    netip.AddrPort `yaml:"store" validate:"required"`
	LogLevel string         `yaml:"logLevel" validate:"omitempty,oneof=debug info error"`
	// LogBudget is the maximum number of log lines per second about requests. Zero
	// selects the default of cclog.
	LogBudget int `yaml:"logBudget" validate:"min=0"`
	// Limits are those of the host. Nil selects defaults.
	Limits *Limits `yaml:"limits"`
	// Agent is set only for agents.
	Agent *Agent `yaml:"agent"`
	// Platform is set only for processes that run on the users' platform.
	Platform *Platform `yaml:"platform"`
}

// Platform configures the addresses and parameters with which a process connects to
// the users' platform.
type Platform struct {
	// Readiness is the address at which an entry tells the load balancer whether it
	// accepts clients.
	Readiness netip.AddrPort `yaml:"readiness"`
	// Metrics is the address at which an entry serves its metrics. An agent serves
	// them at HTTP.
	Metrics netip.AddrPort `yaml:"metrics"`
	// AwayFactor is the factor by which a task takes longer outside the rack of its
	// data.
	AwayFactor float64 `yaml:"awayFactor" validate:"min=0"`
	// Heartbeats is the address at which an agent receives its worker's heartbeats.
	Heartbeats netip.AddrPort `yaml:"heartbeats"`
	// Worker is the address at which an agent's worker accepts requests.
	Worker netip.AddrPort `yaml:"worker"`
	// Seeds are addresses of machines that may run entries. An agent dials each at
	// the port of its own Listen, which is the same on all machines.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// ToleratedHosts is how many hosts the deployment must be able to lose at once.
	ToleratedHosts int `yaml:"toleratedHosts" validate:"min=0"`
	// Scheduling turns on optional parts of an entry's scheduling.
	Scheduling Scheduling `yaml:"scheduling"`
}

// Agent is the part of the configuration that applies only to agents.
type Agent struct {
	Service string         `yaml:"service" validate:"required"`
	Target  netip.AddrPort `yaml:"target" validate:"required"`
	// Slots lowers the service's slots for this target. Zero leaves them unchanged.
	Slots int `yaml:"slots" validate:"min=0"`
}

// Parse decodes and validates the content of a configuration file. The name of the
// file is used in errors.
func Parse(name string, data []byte) (*Config, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	cfg := &Config{}
	if err := decoder.Decode(cfg); err != nil && !errors.Is(err, io.EOF) {
		return nil, &Error{Op: "parse " + name, Kind: KindSyntax, Err: err}
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(cfg); err != nil {
		return nil, &Error{Op: "check " + name, Kind: KindValue, Err: err}
	}
	if _, err := cfg.ClientLimits(); err != nil {
		return nil, &Error{Op: "check " + name, Kind: KindValue, Err: err}
	}
	if cfg.Platform != nil {
		if err := cfg.Platform.Scheduling.checkShares(); err != nil {
			return nil, &Error{Op: "check " + name, Kind: KindValue, Err: err}
		}
	}
	return cfg, nil
}

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSyntax is a file that is not valid YAML or doesn't match the structure of
	// Config.
	KindSyntax Kind = "syntax"
	// KindValue is a missing value or one that is out of range.
	KindValue Kind = "value"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("config: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
