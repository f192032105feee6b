// Package ccfault defines fault injection plans for experiments: which faults
// occur, where and when.
//
// # Usage
//
//	plan, err := ccfault.Parse(data)
//	plan, err := ccfault.Builtin("domain", 20*time.Second, "north")
package ccfault

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"camphorcroft/core/ccsettings"
)

// Kind is the kind of a fault.
type Kind string

const (
	// KindKillEntry kills an entry without a graceful shutdown.
	KindKillEntry Kind = "killEntry"
	// KindStopEntry stops an entry gracefully.
	KindStopEntry Kind = "stopEntry"
	// KindStartEntry restarts an entry, without its in-memory state.
	KindStartEntry Kind = "startEntry"
	// KindKillAgent kills an agent without a graceful shutdown. Its target keeps running.
	KindKillAgent Kind = "killAgent"
	// KindStopAgent stops an agent gracefully.
	KindStopAgent Kind = "stopAgent"
	// KindStartAgent restarts an agent, without its in-memory state.
	KindStartAgent Kind = "startAgent"
	// KindStallAgent stalls an agent's control loop for Duration, as a pause of the
	// whole process would. Its target keeps running.
	KindStallAgent Kind = "stallAgent"
	// KindSlow divides a target's speed by Factor. A factor of 1 restores full speed.
	KindSlow Kind = "slow"
	// KindBlackHole makes a target fail every task immediately; Off ends the fault.
	KindBlackHole Kind = "blackHole"
	// KindPause makes a target withhold its answers; Off ends the fault.
	KindPause Kind = "pause"
	// KindDomainOut takes a failure domain out of service.
	KindDomainOut Kind = "domainOut"
	// KindDomainIn puts a failure domain back into service.
	KindDomainIn Kind = "domainIn"
	// KindStoreOutage makes the store refuse all calls; Off ends the outage.
	KindStoreOutage Kind = "storeOutage"
)

// Fault is one fault, injected when At has passed since the start of the run.
type Fault struct {
	At   ccsettings.Duration `json:"at"`
	Kind Kind                `json:"kind"`
	// Index is the zero-based index of the entry or the agent.
	Index  int     `json:"number,omitempty"`
	Domain string  `json:"domain,omitempty"`
	Factor float64 `json:"factor,omitempty"`
	Off    bool    `json:"off,omitempty"`
	// Duration is how long KindStallAgent lasts.
	Duration ccsettings.Duration `json:"for,omitempty"`
}

// String describes the fault for log lines.
func (f Fault) String() string {
	switch f.Kind {
	case KindDomainOut, KindDomainIn:
		return fmt.Sprintf("%s %s", f.Kind, f.Domain)
	case KindStoreOutage:
		return fmt.Sprintf("%s %s", f.Kind, onOff(!f.Off))
	case KindBlackHole, KindPause:
		return fmt.Sprintf("%s %d %s", f.Kind, f.Index, onOff(!f.Off))
	case KindSlow:
		return fmt.Sprintf("%s %d by %g", f.Kind, f.Index, f.Factor)
	default:
		return fmt.Sprintf("%s %d", f.Kind, f.Index)
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// Parse reads a JSON list of faults, validates each and sorts them by time. The error is an *Error.
func Parse(data []byte) ([]Fault, error) {
	var faults []Fault
	if err := json.Unmarshal(data, &faults); err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Text: err.Error()}
	}
	for i, fault := range faults {
		if text := fault.validate(); text != "" {
			return nil, &Error{Op: "parse", Kind: KindInvalid, Text: fmt.Sprintf("fault %d: %s", i+1, text)}
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults, nil
}

// validate returns what is wrong with the fault, or an empty string.
func (f Fault) validate() string {
	switch f.Kind {
	case KindKillEntry, KindStopEntry, KindStartEntry, KindKillAgent, KindStopAgent, KindStartAgent,
		KindBlackHole, KindPause, KindStoreOutage:
	case KindStallAgent:
		if f.Duration <= 0 {
			return "for must be above zero"
		}
	case KindSlow:
		if f.Factor <= 0 {
			return "factor must be above zero"
		}
	case KindDomainOut, KindDomainIn:
		if f.Domain == "" {
			return "domain is missing"
		}
	default:
		return fmt.Sprintf("kind %q is unknown", f.Kind)
	}
	if f.At < 0 || f.Index < 0 {
		return "at and number must not be negative"
	}
	return ""
}

// BuiltinNames lists the names of the built-in plans.
var BuiltinNames = []string{"none", "badTargets", "agent", "entry", "domain", "store", "all", "together"}

// stragglerFactor is the slowdown of the straggler in the built-in plans.
const stragglerFactor = 10

// Builtin returns a built-in plan whose times are scaled to the length of the run.
// Plans with a domain outage take out the given domain. The error is an *Error
// of KindUnknownPlan.
func Builtin(name string, length time.Duration, domain string) ([]Fault, error) {
	at := func(share float64) ccsettings.Duration {
		return ccsettings.Duration(share * float64(length))
	}
	badTargets := []Fault{{At: at(0), Kind: KindBlackHole, Index: 4}, {At: at(0), Kind: KindSlow, Index: 7, Factor: stragglerFactor}}
	agent := []Fault{{At: at(0.3), Kind: KindKillAgent, Index: 2}, {At: at(0.6), Kind: KindStartAgent, Index: 2}}
	entry := []Fault{{At: at(0.4), Kind: KindKillEntry, Index: 1}, {At: at(0.7), Kind: KindStartEntry, Index: 1}}
	domains := []Fault{{At: at(0.3), Kind: KindDomainOut, Domain: domain}, {At: at(0.6), Kind: KindDomainIn, Domain: domain}}
	store := []Fault{{At: at(0.25), Kind: KindStoreOutage}, {At: at(0.75), Kind: KindStoreOutage, Off: true}}
	switch name {
	case "", "none":
		return nil, nil
	case "badTargets":
		return badTargets, nil
	case "agent":
		return agent, nil
	case "entry":
		return entry, nil
	case "domain":
		return domains, nil
	case "store":
		return store, nil
	case "all":
		all := slices.Concat(badTargets, agent, entry, domains)
		slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
		return all, nil
	case "together":
		return []Fault{
			{At: at(0.1), Kind: KindStoreOutage},
			{At: at(0.25), Kind: KindStoreOutage, Off: true},
			{At: at(0.3), Kind: KindStallAgent, Index: 6, Duration: at(0.15)},
			{At: at(0.45), Kind: KindKillEntry, Index: 1},
			{At: at(0.6), Kind: KindDomainOut, Domain: domain},
			{At: at(0.8), Kind: KindDomainIn, Domain: domain},
		}, nil
	default:
		return nil, &Error{Op: "name", Kind: KindUnknownPlan, Text: fmt.Sprintf("no plan is named %q", name)}
	}
}
