package ccload

import (
	"math/rand/v2"
	"time"

	"camphorcroft/core/ccjob"
)

// jitter is how much arrivals are moved to see how much two ideal runs differ.
const jitter = time.Millisecond

// SummaryConfig says what a run is compared with.
type SummaryConfig struct {
	Name    string // The policy or the run, for the report.
	Profile Profile
	Plan    *Plan
	// RoundTrip is added to the ideal responses.
	RoundTrip time.Duration
	// ExcludedTeam is a team that is left out of the response times, such as one that
	// floods the fleet.
	ExcludedTeam string
	// WarmUp is the time from the start in which the fleet learns. Its jobs are
	// left out of the response times, and its work out of the goodput.
	WarmUp time.Duration
	// Outages lists the times at which failure domains are out. Their targets' power
	// does not count then.
	Outages []Outage
}

// Outage is a time at which a failure domain is out.
type Outage struct {
	Domain   string
	From, To time.Duration
}

// Summary takes the results of one run and sums them up. It is not safe for use
// by several goroutines.
type Summary struct {
	cfg     SummaryConfig
	results []Result
	answers map[ccjob.ID]Result
	ideal   *Replay
	fair    *Replay
	moved   []time.Duration // Of the fair replay, with jitter.
}

// NewSummary returns a summary with no results, and replays the plan's ideal.
func NewSummary(cfg SummaryConfig) *Summary {
	random := rand.New(rand.NewPCG(1, 1))
	return &Summary{
		cfg:     cfg,
		answers: make(map[ccjob.ID]Result),
		ideal:   Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFirstCome),
		fair:    Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFair),
		moved:   IdealWithJitter(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFair, jitter, random),
	}
}

// Add takes what a client saw.
func (s *Summary) Add(result Result) {
	s.results = append(s.results, result)
	s.answers[result.JobID] = result
}

// Observations is what was seen at the fleet's side of a run.
type Observations struct {
	// Starts lists every start at a target. It is nil when the targets can't be
	// asked.
	Starts   []Start
	From     time.Time // Start of the run.
	Messages Messages
}

// Report sums up the results and what was observed.
func (s *Summary) Report(observed Observations) Report {
	plan, profile := s.cfg.Plan, s.cfg.Profile
	power := NominalCapacity(profile.Targets)
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
	s.addStarts(&report, observed)
	s.addGoodput(&report, observed)
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
			refusals.add(result.CallDuration)
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
	alone, floor := newRatios(), newRatios()
	for _, result := range s.results {
		late.add(result.SubmitDelay)
		arrival := s.cfg.Plan.Arrivals[result.Number]
		if result.State != ccjob.StateComplete || arrival.Team == s.cfg.ExcludedTeam || arrival.At < s.cfg.WarmUp {
			continue
		}
		response.add(result.Response)
		first := s.ideal.Responses[result.Number] + s.cfg.RoundTrip
		ideal.add(first)
		ratio.add(result.Response.Seconds() / first.Seconds())
		shared := s.fair.Responses[result.Number] + s.cfg.RoundTrip
		fair.add(shared)
		fairRatio.add(result.Response.Seconds() / shared.Seconds())
		floor.add((s.moved[result.Number] + s.cfg.RoundTrip).Seconds() / shared.Seconds())
		bound := IdealAlone(arrival, s.cfg.Profile.Targets) + s.cfg.RoundTrip
		alone.add(result.Response.Seconds() / bound.Seconds())
	}
	report.Response, report.Late = response.quantiles(), late.quantiles()
	report.Ideal, report.OverIdeal = ideal.quantiles(), ratio.quantiles()
	report.Fair, report.OverFair = fair.quantiles(), fairRatio.quantiles()
	report.OverAlone, report.Floor = alone.quantiles(), floor.quantiles()
}

// addGoodput sums up the work that targets did, the part of it that was for jobs
// that completed, and the work of the ideal replay, from the end of the warm-up
// to the end of the plan.
func (s *Summary) addGoodput(report *Report, observed Observations) {
	from, to := s.cfg.WarmUp, s.cfg.Plan.Duration
	var ideal, busy, done time.Duration
	for _, span := range s.ideal.Spans {
		ideal += span.inside(from, to)
	}
	for _, start := range observed.Starts {
		span, useful := s.span(start, observed.From)
		busy += span.inside(from, to)
		if useful {
			done += span.inside(from, to)
		}
	}
	available := s.available(from, to).Seconds()
	report.IdealGoodput = ideal.Seconds() / (NominalCapacity(s.cfg.Profile.Targets) * (to - from).Seconds())
	report.Busy = busy.Seconds() / available
	report.Goodput = done.Seconds() / available
}

// available is the nominal work that the targets can do between two times,
// without those whose failure domain is out.
func (s *Summary) available(from, to time.Duration) time.Duration {
	var work time.Duration
	for _, target := range s.cfg.Profile.Targets {
		in := to - from
		for _, away := range s.cfg.Outages {
			if away.Domain == target.Domain {
				in -= max(min(away.To, to)-max(away.From, from), 0)
			}
		}
		work += time.Duration(float64(in) * target.Speed * float64(target.Slots))
	}
	return work
}

// span returns the time that a started task takes at its target, and whether its
// job completed.
func (s *Summary) span(start Start, from time.Time) (Span, bool) {
	result, known := s.answers[start.JobID]
	if !known || start.Target >= len(s.cfg.Profile.Targets) {
		return Span{}, false
	}
	begin, speed := start.At.Sub(from), s.cfg.Profile.Targets[start.Target].Speed
	run := s.cfg.Plan.Arrivals[result.Number].Tasks[start.Index]
	span := Span{From: begin, To: begin + time.Duration(float64(run)/speed), Speed: speed}
	return span, result.State == ccjob.StateComplete
}

// taskKey names a task.
type taskKey struct {
	job   ccjob.ID
	index int
}

// addStarts judges the promises against what the targets saw.
func (s *Summary) addStarts(report *Report, observed Observations) {
	if observed.Starts == nil {
		return
	}
	starts := make(map[taskKey]int)
	first := make(map[ccjob.ID]time.Time) // The first start of each job.
	for _, start := range observed.Starts {
		if _, known := s.answers[start.JobID]; !known {
			report.Unknown++
			continue
		}
		starts[taskKey{start.JobID, start.Index}]++
		if at, ok := first[start.JobID]; !ok || start.At.Before(at) {
			first[start.JobID] = start.At
		}
		report.Starts++
	}
	for _, count := range starts {
		if count > 1 {
			report.Doubled++
		}
	}
	for id, result := range s.answers {
		if at, ran := first[id]; ran && (result.NotRun || at.Before(result.NotRunUntil)) {
			report.FalseNotRun++
		}
		if result.State == ccjob.StateComplete {
			report.Lost += s.missing(result, starts)
		}
	}
}

// missing counts the tasks of a complete job that no target started.
func (s *Summary) missing(result Result, starts map[taskKey]int) int {
	missing := 0
	for index := range s.cfg.Plan.Arrivals[result.Number].Tasks {
		if starts[taskKey{result.JobID, index}] == 0 {
			missing++
		}
	}
	return missing
}
