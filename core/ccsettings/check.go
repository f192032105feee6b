package ccsettings

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
)

// Limits of durations and weights. The other limits are in the validate tags of the
// settings types.
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

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// limitChecker collects an issue for each value that is out of its limits.
type limitChecker struct {
	// issueAt returns an issue without a reason, with the file, line and key to report.
	issueAt func(key Key) Issue
	issues  Issues
}

// checkLimits checks all values and votes of a section, including those that are
// not in force, since an invalid value would otherwise stay unnoticed until a
// later change brings it into force.
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
	issues := checkValueLimits(values, func(key Key) Issue {
		return Issue{File: s.File, Line: s.Settings[key].Line, Key: key}
	})
	return append(issues, checkValueLimits(votes, func(key Key) Issue {
		return Issue{File: s.File, Line: s.Votes[key].Line, Key: childKey(keyVotes, string(key))}
	})...)
}

func checkValueLimits(values Values, issueAt func(key Key) Issue) Issues {
	e, err := buildEffective(0, values)
	if err != nil {
		return Issues{{Reason: err.Error()}}
	}
	c := &limitChecker{issueAt: issueAt}
	c.check(e)
	return c.issues
}

// check validates the references between the merged settings. Limits need no
// second check, since ParseSection checks them for each section.
func (m *merger) check() Issues {
	issues := m.checkDomains()
	return append(issues, m.checkVotes()...)
}

func (c *limitChecker) check(e *Effective) {
	for name, service := range e.Services {
		prefix := joinKey(groupServices, name)
		c.checkFields(prefix, service)
		c.checkDuration(prefix+".ejectFor", service.EjectFor, 0, maxEjectFor)
		c.checkDuration(prefix+".maxDeadline", service.MaxDeadline, minDeadline, maxDeadline)
		for domain, weight := range service.Weights {
			c.checkWeight(joinKey(groupServices, name, "weights", domain), weight)
		}
	}
	for name, domain := range e.Domains {
		c.checkDuration(joinKey(groupDomains, name, "rampUp"), domain.RampUp, 0, maxRampUp)
	}
	for name, team := range e.Teams {
		c.checkFields(joinKey(groupTeams, name), team)
	}
	c.checkFields(groupFleet, e.Fleet)
	c.checkDuration("fleet.retention", e.Fleet.Retention, minRetention, maxRetention)
	c.checkDuration("fleet.clockMargin", e.Fleet.ClockMargin, 0, maxClockMargin)
}

func (c *limitChecker) addIssue(key Key, format string, args ...any) {
	issue := c.issueAt(key)
	issue.Reason = fmt.Sprintf(format, args...)
	c.issues = append(c.issues, issue)
}

// checkFields checks the limits in the validate tags of a settings struct.
func (c *limitChecker) checkFields(prefix Key, settings any) {
	var fieldErrors validator.ValidationErrors
	if !errors.As(structValidator.Struct(settings), &fieldErrors) {
		return
	}
	for _, fieldError := range fieldErrors {
		c.addIssue(childKey(prefix, fieldError.Field()), "%v is not %s", fieldError.Value(), describeLimit(fieldError))
	}
}

func (c *limitChecker) checkDuration(key Key, d Duration, shortest, longest time.Duration) {
	if d.Std() < shortest || d.Std() > longest {
		c.addIssue(key, "%s is not from %s to %s", d, shortest, longest)
	}
}

func (c *limitChecker) checkWeight(key Key, weight float64) {
	if weight < 0 || weight > maxWeight {
		c.addIssue(key, "%v is not from 0 to %d", weight, maxWeight)
	}
}

func describeLimit(fieldError validator.FieldError) string {
	switch fieldError.Tag() {
	case "min":
		return "at least " + fieldError.Param()
	case "max":
		return "at most " + fieldError.Param()
	case "gt":
		return "above " + fieldError.Param()
	case "oneof":
		return "one of " + fieldError.Param()
	default:
		return fieldError.Tag() + " " + fieldError.Param()
	}
}

// checkDomains reports weights for failure domains that don't exist.
func (m *merger) checkDomains() Issues {
	var issues Issues
	for name, service := range m.merged.Effective.Services {
		for domain := range service.Weights {
			if _, ok := m.merged.Effective.Domains[domain]; !ok {
				key := joinKey(groupServices, name, "weights", domain)
				issues = append(issues, m.newIssue(key, fmt.Sprintf("there is no failure domain %s", domain)))
			}
		}
	}
	return issues
}

// checkVotes reports votes for teams that have no section.
func (m *merger) checkVotes() Issues {
	chair := m.sections[Chair]
	if chair == nil {
		return nil
	}
	var issues Issues
	for key, vote := range chair.Votes {
		if vote.Team != "" && m.sections[vote.Team] == nil {
			issues = append(issues, Issue{
				File: chair.File, Line: vote.Line, Key: childKey(keyVotes, string(key)),
				Reason: fmt.Sprintf("there is no section %s", vote.Team),
			})
		}
	}
	return issues
}

// newIssue returns an issue at the file and line that set the key's value.
func (m *merger) newIssue(key Key, reason string) Issue {
	issue := Issue{Key: key, Reason: reason}
	origin := m.merged.Origins[key]
	if section := m.sections[origin.Section]; section != nil {
		issue.File, issue.Line = section.File, origin.Line
	}
	return issue
}
