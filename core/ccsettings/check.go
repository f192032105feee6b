package ccsettings

import (
	"errors"
	"fmt"
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

// limitCheck looks for values out of their limits.
type limitCheck struct {
	// place gives a key's file, line and name in errors.
	place  func(key Key) Issue
	issues Issues
}

// checkLimits checks a section's own values and votes, whether they are in force
// or not: a value that is out of its limits must not wait there until it is.
func (s *Section) checkLimits() Issues {
	values, votes := Values{}, Values{}
	for key, setting := range s.Settings {
		values[key] = setting.Value
	}
	for key, vote := range s.Votes {
		if vote.Value != "" {
			votes[key] = vote.Value
		}
	}
	issues := limitsOf(values, func(key Key) Issue {
		return Issue{File: s.File, Line: s.Settings[key].Line, Key: key}
	})
	return append(issues, limitsOf(votes, func(key Key) Issue {
		return Issue{File: s.File, Line: s.Votes[key].Line, Key: below(keyVotes, string(key))}
	})...)
}

func limitsOf(values Values, place func(key Key) Issue) Issues {
	e, err := build(0, values)
	if err != nil {
		return Issues{{Reason: err.Error()}}
	}
	c := &limitCheck{place: place}
	c.check(e)
	return c.issues
}

// check returns what is wrong with the merged settings as a whole. Each value is
// within its limits, since its section was checked.
func (m *merger) check() Issues {
	issues := m.checkDomains()
	return append(issues, m.checkVotes()...)
}

func (c *limitCheck) check(e *Effective) {
	for name, service := range e.Services {
		prefix := joinKey(groupServices, name)
		c.fields(prefix, service)
		c.duration(prefix+".ejectFor", service.EjectFor, 0, maxEjectFor)
		c.duration(prefix+".maxDeadline", service.MaxDeadline, minDeadline, maxDeadline)
		for domain, weight := range service.Weights {
			c.weight(joinKey(groupServices, name, "weights", domain), weight)
		}
	}
	for name, domain := range e.Domains {
		c.duration(joinKey(groupDomains, name, "rampUp"), domain.RampUp, 0, maxRampUp)
	}
	for name, team := range e.Teams {
		c.fields(joinKey(groupTeams, name), team)
	}
	c.fields(groupFleet, e.Fleet)
	c.duration("fleet.retention", e.Fleet.Retention, minRetention, maxRetention)
	c.duration("fleet.clockMargin", e.Fleet.ClockMargin, 0, maxClockMargin)
}

func (c *limitCheck) fault(key Key, format string, args ...any) {
	issue := c.place(key)
	issue.Reason = fmt.Sprintf(format, args...)
	c.issues = append(c.issues, issue)
}

// fields checks the limits that stand in the types' tags.
func (c *limitCheck) fields(prefix Key, settings any) {
	var faults validator.ValidationErrors
	if !errors.As(limits.Struct(settings), &faults) {
		return
	}
	for _, fault := range faults {
		c.fault(below(prefix, fault.Field()), "%v is not %s", fault.Value(), limitText(fault))
	}
}

func (c *limitCheck) duration(key Key, d Duration, least, most time.Duration) {
	if d.Std() < least || d.Std() > most {
		c.fault(key, "%s is not from %s to %s", d, least, most)
	}
}

func (c *limitCheck) weight(key Key, weight float64) {
	if weight < 0 || weight > maxWeight {
		c.fault(key, "%v is not from 0 to %d", weight, maxWeight)
	}
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

// checkDomains refuses references to failure domains that don't exist.
func (m *merger) checkDomains() Issues {
	var issues Issues
	for name, service := range m.merged.Effective.Services {
		for domain := range service.Weights {
			if _, ok := m.merged.Effective.Domains[domain]; !ok {
				key := joinKey(groupServices, name, "weights", domain)
				issues = append(issues, m.issue(key, fmt.Sprintf("there is no failure domain %s", domain)))
			}
		}
	}
	return issues
}

// checkVotes refuses votes for teams that have no section.
func (m *merger) checkVotes() Issues {
	chair := m.sections[Chair]
	if chair == nil {
		return nil
	}
	var issues Issues
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
