package ccconfig

import (
	"time"

	"camphorcroft/core/cclimit"
)

// ownMemoryMB is the default for processes with the product's own interface, whose clients
// may submit 32 MB at once.
const ownMemoryMB = 512

// Limits are the limits of the host, and the limits on clients that are derived from them
// unless they are set. docs/OPERATIONS.md describes them. They hold from the start of the
// process to its end.
type Limits struct {
	MemoryMB       *int `yaml:"memoryMB"`
	MaxDescriptors *int `yaml:"maxDescriptors"`
	// MaxTasks limits the tasks of the jobs that an entry on the platform has taken.
	MaxTasks *int `yaml:"maxTasks"`
	// Requests, Control, Sessions and Observation are the shares of the listeners.
	Requests    LimitShare `yaml:"requests"`
	Control     LimitShare `yaml:"control"`
	Sessions    LimitShare `yaml:"sessions"`
	Observation LimitShare `yaml:"observation"`
	// BodyTimeout is how long a body, a message or an answer may make no progress.
	BodyTimeout *time.Duration `yaml:"bodyTimeout"`
	// IdentifyTimeout is how long a peer may take to identify itself.
	IdentifyTimeout *time.Duration `yaml:"identifyTimeout"`
	// UnidentifiedKB limits a message of a peer that has not identified itself.
	UnidentifiedKB *int `yaml:"unidentifiedKB"`
}

// LimitShare is the share of a group of listeners.
type LimitShare struct {
	Connections *int `yaml:"connections"`
	MemoryKB    *int `yaml:"memoryKB"`
}

// ClientLimits returns the limits on the process's clients.
func (c *Config) ClientLimits() (cclimit.Limits, error) {
	set := c.Limits
	if set == nil {
		set = &Limits{}
	}
	host := cclimit.Host{Memory: cclimit.DefaultMemory, Descriptors: cclimit.DefaultDescriptors}
	if c.Platform == nil {
		host.Memory = ownMemoryMB << 20
	}
	if set.MemoryMB != nil {
		host.Memory = int64(*set.MemoryMB) << 20
	}
	if set.MaxDescriptors != nil {
		host.Descriptors = *set.MaxDescriptors
	}
	limits := cclimit.Derive(host)
	for class, share := range map[cclimit.Class]LimitShare{
		cclimit.ClassRequests: set.Requests, cclimit.ClassControl: set.Control,
		cclimit.ClassSessions: set.Sessions, cclimit.ClassObservation: set.Observation,
	} {
		if share.Connections != nil {
			limits.Shares[class].Connections = *share.Connections
		}
		if share.MemoryKB != nil {
			limits.Shares[class].Bytes = int64(*share.MemoryKB) << 10
		}
	}
	if set.MaxTasks != nil {
		limits.MaxTasks = *set.MaxTasks
	}
	if set.BodyTimeout != nil {
		limits.BodyTimeout = *set.BodyTimeout
	}
	if set.IdentifyTimeout != nil {
		limits.IdentifyTimeout = *set.IdentifyTimeout
	}
	if set.UnidentifiedKB != nil {
		limits.UnidentifiedBytes = int64(*set.UnidentifiedKB) << 10
	}
	return limits, limits.Validate()
}
