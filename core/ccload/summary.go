package ccload

import (
	"math/rand/v2"
	"time"

	"camphorcroft/core/ccjob"
)

// jitter is the maximum delay of arrivals in the replay that shows how much two
// ideal runs differ.
const jitter = time.Millisecond

// SummaryConfig configures what the results of a run are compared with.
type SummaryConfig struct {
	Name    string // Name of the policy or the run in the report.
	Profile Profile
	Plan    *Plan
	// RoundTrip is added to the ideal responses.
	RoundTrip time.Duration
	// ExcludedTeam is a team whose jobs are excluded from the response times, such as
	// one that floods the fleet.
	ExcludedTeam string
	// WarmUp is the time from the start of the run in which the fleet learns. Its
	// jobs are excluded from the response times, and its work from the goodput.
	WarmUp time.Duration
	// Outages lists the outages of failure domains. Their targets do not count as
	// available capacity during them.
	Outages []Outage
}

// Outage is a time interval in which a failure domain is down.
type Outage struct {
	Domain   string
	From, To time.Duration
}

// Summary collects and summarizes the results of one run. It is not safe for
// concurrent use.
type Summary struct {
	cfg          SummaryConfig
	results      []Result
	resultsByJob map[ccjob.ID]Result
	ideal        *Replay
	fair         *Replay
	jittered     []time.Duration // Responses of the fair replay with jitter.
}

// NewSummary returns an empty summary and computes the ideal replays of the plan.
func NewSummary(cfg SummaryConfig) *Summary {
	random := rand.New(rand.NewPCG(1, 1))
	return &Summary{
		cfg:          cfg,
		resultsByJob: make(map[ccjob.ID]Result),
		ideal:        Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFirstCome),
		fair:         Ideal(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFair),
		jittered:     IdealWithJitter(cfg.Plan.Arrivals, cfg.Profile.Targets, OrderFair, jitter, random),
	}
}

// Add adds the result of one arrival.
func (s *Summary) Add(result Result) {
	s.results = append(s.results, result)
	s.resultsByJob[result.JobID] = result
}

// Observations holds what the fleet recorded during a run.
type Observations struct {
	// Starts lists every start at a target. It is nil if the targets cannot be
	// queried.
	Starts   []Start
	From     time.Time // Start of the run.
	Messages Messages
}

// Report summarizes the results and the observations of the fleet.
func (s *Summary) Report(observed Observations) Report {
	plan, profile := s.cfg.Plan, s.cfg.Profile
	capacity := NominalCapacity(profile.Targets)
	report := Report{
		Name:    s.cfg.Name,
		Profile: profile.Name,
		Jobs:    len(plan.Arrivals),
		Tasks:   plan.Tasks(),
		Offered: plan.Work().Seconds() / (capacity * plan.Duration.Seconds()),
		Refused: make(map[ccjob.Kind]int),
		Failed:  make(map[ccjob.Kind]int),
	}
	report.Capacity = capacity / (plan.Work().Seconds() / float64(plan.Tasks()))
	s.addOutcomes(&report)
	s.addResponseTimes(&report)
	s.addStartCounts(&report, observed)
	s.addGoodput(&report, observed)
	report.Messages = observed.Messages
	return report
}

// addOutcomes counts the jobs by outcome.
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
			report.WrongAnswers++
		}
	}
	report.Refusals = refusals.quantiles()
}

// addResponseTimes compares the response times of complete jobs with the ideals.
func (s *Summary) addResponseTimes(report *Report) {
	response, submitDelay := newDurations(), newDurations()
	ideal, ratio := newDurations(), newRatios()
	fair, fairRatio := newDurations(), newRatios()
	alone, jitteredRatio := newRatios(), newRatios()
	for _, result := range s.results {
		submitDelay.add(result.SubmitDelay)
		arrival := s.cfg.Plan.Arrivals[result.Number]
		if result.State != ccjob.StateComplete || arrival.Team == s.cfg.ExcludedTeam || arrival.At < s.cfg.WarmUp {
			continue
		}
		response.add(result.Response)
		idealResponse := s.ideal.Responses[result.Number] + s.cfg.RoundTrip
		ideal.add(idealResponse)
		ratio.add(result.Response.Seconds() / idealResponse.Seconds())
		fairResponse := s.fair.Responses[result.Number] + s.cfg.RoundTrip
		fair.add(fairResponse)
		fairRatio.add(result.Response.Seconds() / fairResponse.Seconds())
		jitteredRatio.add((s.jittered[result.Number] + s.cfg.RoundTrip).Seconds() / fairResponse.Seconds())
		aloneResponse := IdealAlone(arrival, s.cfg.Profile.Targets) + s.cfg.RoundTrip
		alone.add(result.Response.Seconds() / aloneResponse.Seconds())
	}
	report.Response, report.SubmitDelay = response.quantiles(), submitDelay.quantiles()
	report.Ideal, report.OverIdeal = ideal.quantiles(), ratio.quantiles()
	report.Fair, report.OverFair = fair.quantiles(), fairRatio.quantiles()
	report.OverAlone, report.JitteredOverFair = alone.quantiles(), jitteredRatio.quantiles()
}

// addGoodput adds up the work that the targets did, the part of it for jobs that
// completed, and the work of the ideal replay, from the end of the warm-up to the
// end of the plan.
func (s *Summary) addGoodput(report *Report, observed Observations) {
	from, to := s.cfg.WarmUp, s.cfg.Plan.Duration
	var ideal, busy, useful time.Duration
	for _, span := range s.ideal.Spans {
		ideal += span.workWithin(from, to)
	}
	for _, start := range observed.Starts {
		span, completed := s.span(start, observed.From)
		busy += span.workWithin(from, to)
		if completed {
			useful += span.workWithin(from, to)
		}
	}
	available := s.availableWork(from, to).Seconds()
	report.IdealGoodput = ideal.Seconds() / (NominalCapacity(s.cfg.Profile.Targets) * (to - from).Seconds())
	report.Busy = busy.Seconds() / available
	report.Goodput = useful.Seconds() / available
}

// availableWork returns the nominal work that the targets can do between two times,
// less the outages of their failure domains.
func (s *Summary) availableWork(from, to time.Duration) time.Duration {
	var work time.Duration
	for _, target := range s.cfg.Profile.Targets {
		uptime := to - from
		for _, outage := range s.cfg.Outages {
			if outage.Domain == target.Domain {
				uptime -= max(min(outage.To, to)-max(outage.From, from), 0)
			}
		}
		work += time.Duration(float64(uptime) * target.Speed * float64(target.Slots))
	}
	return work
}

// span returns the interval in which a started task runs at its target, and whether
// its job completed.
func (s *Summary) span(start Start, from time.Time) (Span, bool) {
	result, known := s.resultsByJob[start.JobID]
	if !known || start.Target >= len(s.cfg.Profile.Targets) {
		return Span{}, false
	}
	begin, speed := start.At.Sub(from), s.cfg.Profile.Targets[start.Target].Speed
	run := s.cfg.Plan.Arrivals[result.Number].Tasks[start.Index]
	span := Span{From: begin, To: begin + time.Duration(float64(run)/speed), Speed: speed}
	return span, result.State == ccjob.StateComplete
}

// taskKey identifies a task by its job and index.
type taskKey struct {
	job   ccjob.ID
	index int
}

// addStartCounts counts the violations of the guarantees, as shown by the starts
// that the targets recorded.
func (s *Summary) addStartCounts(report *Report, observed Observations) {
	if observed.Starts == nil {
		return
	}
	starts := make(map[taskKey]int)
	first := make(map[ccjob.ID]time.Time) // The first start of each job.
	for _, start := range observed.Starts {
		if _, known := s.resultsByJob[start.JobID]; !known {
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
			report.TasksDoubled++
		}
	}
	for id, result := range s.resultsByJob {
		if at, ran := first[id]; ran && (result.NotRun || at.Before(result.NotRunUntil)) {
			report.FalseNotRun++
		}
		if result.State == ccjob.StateComplete {
			report.TasksLost += s.countUnstarted(result, starts)
		}
	}
}

// countUnstarted counts the tasks of a complete job that no target started.
func (s *Summary) countUnstarted(result Result, starts map[taskKey]int) int {
	unstarted := 0
	for index := range s.cfg.Plan.Arrivals[result.Number].Tasks {
		if starts[taskKey{result.JobID, index}] == 0 {
			unstarted++
		}
	}
	return unstarted
}
