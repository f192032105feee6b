// Package ccfault holds plans of faults for an experiment: what breaks, where
// and when.
//
// # Usage
//
//	plan, err := ccfault.Parse(data)
//	plan, err := ccfault.Named("domain", 20*time.Second, "north")
package ccfault

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"camphorcroft/core/ccsettings"
)

// Kind is what happens.
type Kind string

const (
	// KindKillEntry ends an entry abruptly.
	KindKillEntry Kind = "killEntry"
	// KindStopEntry stops an entry gracefully.
	KindStopEntry Kind = "stopEntry"
	// KindStartEntry starts an entry again, with an empty memory.
	KindStartEntry Kind = "startEntry"
	// KindKillAgent ends an agent abruptly. Its target goes on.
	KindKillAgent Kind = "killAgent"
	// KindStopAgent stops an agent gracefully.
	KindStopAgent Kind = "stopAgent"
	// KindStartAgent starts an agent again, with an empty memory.
	KindStartAgent Kind = "startAgent"
	// KindStallAgent stops an agent's control for the time of For, as a pause of the
	// whole process would. Its target goes on.
	KindStallAgent Kind = "stallAgent"
	// KindSlow divides a target's speed by Factor. A factor of 1 ends it.
	KindSlow Kind = "slow"
	// KindBlackHole makes a target fail all tasks at once, or ends it with Off.
	KindBlackHole Kind = "blackHole"
	// KindPause makes a target hold all answers, or ends it with Off.
	KindPause Kind = "pause"
	// KindDomainOut takes a failure domain out.
	KindDomainOut Kind = "domainOut"
	// KindDomainIn brings it back.
	KindDomainIn Kind = "domainIn"
	// KindStoreOutage makes the store refuse all calls, or ends it with Off.
	KindStoreOutage Kind = "storeOutage"
)

// Fault is one thing that happens.
type Fault struct {
	At   ccsettings.Duration `json:"at"`
	Kind Kind                `json:"kind"`
	// Index is the entry or the agent, from zero.
	Index  int     `json:"number,omitempty"`
	Domain string  `json:"domain,omitempty"`
	Factor float64 `json:"factor,omitempty"`
	Off    bool    `json:"off,omitempty"`
	// Duration is how long a stall lasts.
	Duration ccsettings.Duration `json:"for,omitempty"`
}

// String says what happens, for a log.
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

// Parse reads a JSON list of faults and sorts it by time. The error is an *Error.
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

func (f Fault) validate() string {
	switch f.Kind {
	case KindKillEntry, KindStopEntry, KindStartEntry, KindKillAgent, KindStopAgent, KindStartAgent,
		KindBlackHole, KindPause, KindStoreOutage:
	case KindStallAgent:
		if f.Duration <= 0 {
			return "for is above zero"
		}
	case KindSlow:
		if f.Factor <= 0 {
			return "factor is above zero"
		}
	case KindDomainOut, KindDomainIn:
		if f.Domain == "" {
			return "domain is missing"
		}
	default:
		return fmt.Sprintf("kind %q is unknown", f.Kind)
	}
	if f.At < 0 || f.Index < 0 {
		return "at and number are not below zero"
	}
	return ""
}

// BuiltinNames lists the built-in plans.
var BuiltinNames = []string{"none", "badTargets", "agent", "entry", "domain", "store", "all", "together"}

// stragglerFactor is how much slower the built-in straggler gets.
const stragglerFactor = 10

// Builtin returns a built-in plan, scaled to the length of the run. The domain is
// the one that plans take out. The error is an *Error of KindName.
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
