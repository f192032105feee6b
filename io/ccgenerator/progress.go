package ccgenerator

import (
	"sync"
	"time"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccload"
)

// Progress is how far a run is.
type Progress struct {
	Elapsed   time.Duration
	Planned   int
	Submitted int64
	InFlight  int64
	Complete  int64
	Refused   int64
	Failed    int64
}

// count takes the end of one job.
func (g *Generator) count(result *ccload.Result) {
	g.ended.Add(1)
	switch result.State {
	case ccjob.StateComplete:
		g.complete.Add(1)
	case ccjob.StateRefused:
		g.refused.Add(1)
	default:
		g.failed.Add(1)
	}
}

// startProgress reports until the returned function is called, which waits for
// the last report.
func (g *Generator) startProgress(from time.Time) func() {
	if g.cfg.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	ticker := time.NewTicker(progressInterval)
	var reporter sync.WaitGroup
	reporter.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				g.cfg.Progress(g.progress(now.Sub(from)))
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}

func (g *Generator) progress(elapsed time.Duration) Progress {
	ended, submitted := g.ended.Load(), g.submitted.Load()
	return Progress{
		Elapsed: elapsed, Planned: len(g.cfg.Plan.Arrivals), Submitted: submitted, InFlight: submitted - ended,
		Complete: g.complete.Load(), Refused: g.refused.Load(), Failed: g.failed.Load(),
	}
}
