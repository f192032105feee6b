package ccsettings

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-playground/validator/v10"
)

// Limits of durations and weights.
const (
	maxWeight      = 1000
	minDeadline    = time.Millisecond
	maxDeadline    = time.Hour
	maxEjectFor    = time.Hour
	maxRampUp      = time.Hour
	minRetention   = time.Second
	maxRetention   = 24 * time.Hour
	maxClockMargin = time.Minute
)

var limits = newLimits()

func newLimits() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(writtenName)
	return v
}

// check returns what is wrong with the merged settings.
func (m *merger) check() IssueErrors {
	var issues IssueErrors
	e := m.merged.Effective
	for _, name := range slices.Sorted(maps.Keys(e.Services)) {
		service := e.Services[name]
		prefix := joinKey(groupServices, name)
		issues = append(issues, m.checkLimits(prefix, service)...)
		issues = append(issues, m.checkDuration(prefix+".ejectFor", service.EjectFor, 0, maxEjectFor)...)
		issues = append(issues, m.checkDuration(prefix+".maxDeadline", service.MaxDeadline, minDeadline, maxDeadline)...)
		issues = append(issues, m.checkWeights(prefix+".weights", service.Weights)...)
	}
	for name, domain := range e.Domains {
		issues = append(issues, m.checkDuration(joinKey(groupDomains, name, "rampUp"), domain.RampUp, 0, maxRampUp)...)
	}
	for name, team := range e.Teams {
		issues = append(issues, m.checkLimits(joinKey(groupTeams, name), team)...)
	}
	issues = append(issues, m.checkLimits(groupFleet, e.Fleet)...)
	issues = append(issues, m.checkDuration("fleet.retention", e.Fleet.Retention, minRetention, maxRetention)...)
	issues = append(issues, m.checkDuration("fleet.clockMargin", e.Fleet.ClockMargin, 0, maxClockMargin)...)
	return append(issues, m.checkVotes()...)
}

func (m *merger) checkLimits(prefix Key, settings any) IssueErrors {
	var faults validator.ValidationErrors
	if !errors.As(limits.Struct(settings), &faults) {
		return nil
	}
	var issues IssueErrors
	for _, fault := range faults {
		key := below(prefix, fault.Field())
		issues = append(issues, m.issue(key, fmt.Sprintf("%v is not %s", fault.Value(), limitText(fault))))
	}
	return issues
}

func limitText(fault validator.FieldError) string {
	switch fault.Tag() {
	case "min":
		return "at least " + fault.Param()
	case "max":
		return "at most " + fault.Param()
	case "gt":
		return "above " + fault.Param()
	case "oneof":
		return "one of " + fault.Param()
	default:
		return fault.Tag() + " " + fault.Param()
	}
}

func (m *merger) checkDuration(key Key, d Duration, least, most time.Duration) IssueErrors {
	if d.Std() >= least && d.Std() <= most {
		return nil
	}
	return IssueErrors{m.issue(key, fmt.Sprintf("%s is not from %s to %s", d, least, most))}
}

func (m *merger) checkWeights(prefix Key, weights map[string]float64) IssueErrors {
	var issues IssueErrors
	for domain, weight := range weights {
		key := below(prefix, domain)
		if _, ok := m.merged.Effective.Domains[domain]; !ok {
			issues = append(issues, m.issue(key, fmt.Sprintf("there is no failure domain %s", domain)))
		}
		if weight < 0 || weight > maxWeight {
			issues = append(issues, m.issue(key, fmt.Sprintf("%v is not from 0 to %d", weight, maxWeight)))
		}
	}
	return issues
}

// checkVotes refuses votes for teams that have no section.
func (m *merger) checkVotes() IssueErrors {
	chair := m.sections[Chair]
	if chair == nil {
		return nil
	}
	var issues IssueErrors
	for key, vote := range chair.Votes {
		if vote.Team != "" && m.sections[vote.Team] == nil {
			issues = append(issues, Issue{
				File: chair.File, Line: vote.Line, Key: below(keyVotes, string(key)),
				Reason: fmt.Sprintf("there is no section %s", vote.Team),
			})
		}
	}
	return issues
}

// issue places a fault where the key's value stands.
func (m *merger) issue(key Key, reason string) Issue {
	issue := Issue{Key: key, Reason: reason}
	origin := m.merged.Origins[key]
	if section := m.sections[origin.Section]; section != nil {
		issue.File, issue.Line = section.File, origin.Line
	}
	return issue
}
