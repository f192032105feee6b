package ccload

import (
	"time"

	"camphorcroft/core/ccjob"
)

// SummaryConfig says what a run is compared with.
type SummaryConfig struct {
	Name    string // The policy or the run, for the report.
	Profile Profile
	Plan    *Plan
	// RoundTrip is added to the ideal responses.
	RoundTrip time.Duration
	// Except is a team that is left out of the response times, such as one that
	// floods the fleet.
	Except string
}

// Summary takes the results of one run and sums them up. It is not safe for use
// by several goroutines.
type Summary struct {
	cfg     SummaryConfig
	results []Result
	numbers map[ccjob.ID]int
	answers map[ccjob.ID]Result
	ideal   []time.Duration
	fair    []time.Duration
}

// NewSummary returns a summary with no results, and replays the plan's ideal.
func NewSummary(cfg SummaryConfig) *Summary {
	return &Summary{
		cfg:     cfg,
		numbers: make(map[ccjob.ID]int),
		answers: make(map[ccjob.ID]Result),
		ideal:   Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFirstCome),
		fair:    Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFair),
	}
}

// Add takes what a client saw.
func (s *Summary) Add(result Result) {
	s.results = append(s.results, result)
	s.numbers[result.JobID] = result.Number
	s.answers[result.JobID] = result
}

// Observed is what was seen at the fleet's side of a run.
type Observed struct {
	// Starts lists every start at a target. It is nil when the targets can't be
	// asked.
	Starts   []Start
	From     time.Time // Start of the run.
	Messages Messages
}

// Report sums up the results and what was observed.
func (s *Summary) Report(observed Observed) Report {
	plan, profile := s.cfg.Plan, s.cfg.Profile
	power := Power(profile.Targets)
	report := Report{
		Name:    s.cfg.Name,
		Profile: profile.Name,
		Jobs:    len(plan.Arrivals),
		Tasks:   plan.Tasks(),
		Offered: plan.Work().Seconds() / (power * plan.Duration.Seconds()),
		Refused: make(map[ccjob.Kind]int),
		Failed:  make(map[ccjob.Kind]int),
	}
	report.Capacity = power / (plan.Work().Seconds() / float64(plan.Tasks()))
	s.addOutcomes(&report)
	s.addTimes(&report)
	s.addGoodput(&report)
	s.addStarts(&report, observed)
	report.Messages = observed.Messages
	return report
}

// addOutcomes counts jobs by their ends.
func (s *Summary) addOutcomes(report *Report) {
	refusals := newDurations()
	for _, result := range s.results {
		switch {
		case result.Left:
			report.Left++
		case !result.Answered:
			report.NoAnswer++
		case result.State == ccjob.StateComplete:
			report.Complete++
			report.TasksAnswered += len(s.cfg.Plan.Arrivals[result.Number].Tasks)
		case result.State == ccjob.StateRefused:
			report.Refused[result.Kind]++
			refusals.add(result.Call)
		default:
			report.Failed[result.Kind]++
		}
		if result.Wrong {
			report.Wrong++
		}
	}
	report.Refusals = refusals.quantiles()
}

// addTimes compares the response of complete jobs with the ideals.
func (s *Summary) addTimes(report *Report) {
	response, late := newDurations(), newDurations()
	ideal, ratio := newDurations(), newRatios()
	fair, fairRatio := newDurations(), newRatios()
	alone := newRatios()
	for _, result := range s.results {
		late.add(result.Late)
		arrival := s.cfg.Plan.Arrivals[result.Number]
		if result.State != ccjob.StateComplete || arrival.Team == s.cfg.Except {
			continue
		}
		response.add(result.Response)
		first := s.ideal[result.Number] + s.cfg.RoundTrip
		ideal.add(first)
		ratio.add(result.Response.Seconds() / first.Seconds())
		shared := s.fair[result.Number] + s.cfg.RoundTrip
		fair.add(shared)
		fairRatio.add(result.Response.Seconds() / shared.Seconds())
		bound := Alone(arrival, s.cfg.Profile.Targets) + s.cfg.RoundTrip
		alone.add(result.Response.Seconds() / bound.Seconds())
	}
	report.Response, report.Late = response.quantiles(), late.quantiles()
	report.Ideal, report.OverIdeal = ideal.quantiles(), ratio.quantiles()
	report.Fair, report.OverFair = fair.quantiles(), fairRatio.quantiles()
	report.OverAlone = alone.quantiles()
}

// addGoodput counts the work of complete jobs that ended inside the planned
// time, and the same of the ideal replay.
func (s *Summary) addGoodput(report *Report) {
	duration := s.cfg.Plan.Duration
	var done, possible time.Duration
	for _, result := range s.results {
		arrival := &s.cfg.Plan.Arrivals[result.Number]
		if result.State == ccjob.StateComplete && arrival.At+result.Response <= duration {
			done += arrival.Work()
		}
	}
	for number := range s.cfg.Plan.Arrivals {
		arrival := &s.cfg.Plan.Arrivals[number]
		if arrival.At+s.ideal[number] <= duration {
			possible += arrival.Work()
		}
	}
	report.Goodput = done.Seconds() / (Power(s.cfg.Profile.Targets) * duration.Seconds())
	report.IdealGoodput = possible.Seconds() / (Power(s.cfg.Profile.Targets) * duration.Seconds())
}

// addStarts judges the promises against what the targets saw.
func (s *Summary) addStarts(report *Report, observed Observed) {
	if observed.Starts == nil {
		return
	}
	type task struct {
		job   ccjob.ID
		index int
	}
	starts := make(map[task]int)
	jobs := make(map[ccjob.ID]bool)
	until := observed.From.Add(s.cfg.Plan.Duration)
	var busy time.Duration
	for _, start := range observed.Starts {
		number, known := s.numbers[start.JobID]
		if !known {
			report.Unknown++
			continue
		}
		starts[task{start.JobID, start.Index}]++
		jobs[start.JobID] = true
		report.Starts++
		if start.At.Before(until) {
			busy += s.cfg.Plan.Arrivals[number].Tasks[start.Index]
		}
	}
	for _, count := range starts {
		if count > 1 {
			report.Doubled++
		}
	}
	for id, result := range s.answers {
		if result.NotRun && jobs[id] {
			report.FalseNotRun++
		}
		if result.State != ccjob.StateComplete {
			continue
		}
		for index := range s.cfg.Plan.Arrivals[result.Number].Tasks {
			if starts[task{id, index}] == 0 {
				report.Lost++
			}
		}
	}
	report.StartedWork = busy.Seconds() / (Power(s.cfg.Profile.Targets) * s.cfg.Plan.Duration.Seconds())
}
