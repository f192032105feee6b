// Package ccgenerator submits the jobs of a plan at their times, whether or not
// earlier ones have been answered, and records what the clients saw.
//
// # Usage
//
//	generator := ccgenerator.New(ccgenerator.Config{Plan: plan, Entries: entries})
//	run := generator.Run(ctx)
//	for _, result := range run.Results {
//		summary.Add(result)
//	}
package ccgenerator

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
	"camphorcroft/io/ccclient"
)

const (
	// maxInFlight bounds the jobs without an answer. At the bound the generator
	// falls behind its plan, which the results show as late.
	maxInFlight = 20_000
	// connections bounds the connections to each entry.
	connections      = 1500
	progressInterval = time.Second
)

// Config configures a Generator.
type Config struct {
	Plan    *ccload.Plan
	Entries []netip.AddrPort
	// Distance is the round trip between clients and entries.
	Distance time.Duration
	// Progress is called about once a second. Nil is not called.
	Progress func(Progress)
}

// Run is a finished run.
type Run struct {
	From    time.Time // Planned times count from here.
	Results []ccload.Result
}

// Generator submits one plan.
type Generator struct {
	cfg     Config
	client  *ccclient.Client
	results []ccload.Result
	slots   chan struct{}
	jobs    sync.WaitGroup

	submitted, complete, refused, failed, ended atomic.Int64
}

// New returns a generator that has not run.
func New(cfg Config) *Generator {
	return &Generator{
		cfg: cfg,
		client: ccclient.New(ccclient.Config{
			Entries: cfg.Entries, Connections: connections, AddedRoundTrip: cfg.Distance,
		}),
		results: make([]ccload.Result, len(cfg.Plan.Arrivals)),
		slots:   make(chan struct{}, maxInFlight),
	}
}

// Run submits all jobs and waits for their ends. When the context ends, what is
// not submitted is left out and what is under way counts as unanswered.
func (g *Generator) Run(ctx context.Context) Run {
	defer g.client.Close()
	from := time.Now()
	stop := g.startProgress(from)
	defer stop()
	submitted := 0
	for i := range g.cfg.Plan.Arrivals {
		arrival := &g.cfg.Plan.Arrivals[i]
		planned := from.Add(arrival.At)
		if !sleepUntil(ctx, planned) {
			break
		}
		g.slots <- struct{}{}
		g.submitted.Add(1)
		submitted++
		g.jobs.Go(func() {
			g.results[i] = g.runJob(ctx, arrival, planned)
			g.count(&g.results[i])
			<-g.slots
		})
	}
	g.jobs.Wait()
	return Run{From: from, Results: g.results[:submitted]}
}

// runJob is one client.
func (g *Generator) runJob(ctx context.Context, arrival *ccload.Arrival, planned time.Time) ccload.Result {
	id, err := uuid.NewV7()
	if err != nil {
		return ccload.Result{Number: arrival.Number}
	}
	spec := arrival.Spec(ccjob.ID(id.String()))
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	if arrival.LeaveAfter > 0 {
		defer time.AfterFunc(arrival.LeaveAfter, leave).Stop()
	}
	again := g.resubmit(ctx, arrival, &spec)
	if arrival.CancelAfter > 0 {
		defer time.AfterFunc(arrival.CancelAfter, func() { g.cancel(ctx, spec.ID) }).Stop()
	}
	submitted := time.Now()
	outcome, err := g.client.Submit(ctx, &spec)
	now := time.Now()
	result := ccload.Result{
		Number:       arrival.Number,
		JobID:        spec.ID,
		Response:     now.Sub(planned),
		SubmitDelay:  submitted.Sub(planned),
		CallDuration: now.Sub(submitted),
		Answered:     err == nil,
		Left:         err != nil && arrival.LeaveAfter > 0,
		State:        outcome.State,
		Kind:         outcome.Kind,
		NotRun:       outcome.NotRun,
		Wrong:        isWrong(arrival, spec.ID, &outcome),
	}
	if second, ok := <-again; ok {
		addSecond(arrival, &result, now, &second)
	}
	return result
}

// answer is the end of one submission. The outcome is empty when there was none.
type answer struct {
	at      time.Time
	outcome ccjob.Outcome
}

// addSecond takes what a second submission of the job was told.
func addSecond(arrival *ccload.Arrival, result *ccload.Result, first time.Time, second *answer) {
	result.Wrong = result.Wrong || isWrong(arrival, result.JobID, &second.outcome)
	switch {
	case result.NotRun && !second.outcome.NotRun:
		result.NotRunUntil = first
	case second.outcome.NotRun && !result.NotRun:
		result.NotRunUntil = second.at
	}
	result.NotRun = result.NotRun && second.outcome.NotRun
}

// resubmit submits the job a second time, if the plan says so, and sends what it
// was told.
func (g *Generator) resubmit(ctx context.Context, arrival *ccload.Arrival, spec *ccjob.Spec) <-chan answer {
	answers := make(chan answer, 1)
	if arrival.ResubmitAfter == 0 {
		close(answers)
		return answers
	}
	go func() {
		defer close(answers)
		if !sleepUntil(ctx, time.Now().Add(arrival.ResubmitAfter)) {
			return
		}
		outcome, err := g.client.Submit(ctx, spec)
		if err != nil {
			outcome = ccjob.Outcome{JobID: spec.ID}
		}
		answers <- answer{at: time.Now(), outcome: outcome}
	}()
	return answers
}

// cancel asks every entry, since the client doesn't know which one drives the
// job.
func (g *Generator) cancel(ctx context.Context, id ccjob.ID) {
	for _, entry := range g.cfg.Entries {
		if _, err := g.client.Cancel(ctx, entry, id); err != nil && ctx.Err() != nil {
			return
		}
	}
}

// isWrong reports whether a complete answer is not whole, not in order, or
// another job's.
func isWrong(arrival *ccload.Arrival, id ccjob.ID, outcome *ccjob.Outcome) bool {
	if outcome.State != ccjob.StateComplete {
		return len(outcome.Answers) > 0
	}
	if outcome.JobID != id || len(outcome.Answers) != len(arrival.Tasks) {
		return true
	}
	for index, answer := range outcome.Answers {
		if answer.Index != index || answer.Payload != arrival.Echo(index) {
			return true
		}
	}
	return false
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
