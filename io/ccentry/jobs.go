package ccentry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"camphorcroft/core/ccdispatch"
	"camphorcroft/core/ccjob"
)

// lookup is what this entry knows of a job.
type lookup struct {
	known    bool
	ended    bool
	outcome  ccjob.Outcome
	progress ccdispatch.Progress
}

func (e *Entry) lookup(id ccjob.ID) lookup {
	var found lookup
	e.ask(func(now time.Time) {
		if kept, ok := e.answers.Get(now, id); ok {
			found = lookup{known: true, ended: true, outcome: kept.Outcome}
			return
		}
		if p, ok := e.pending[id]; ok {
			found = lookup{known: true}
			found.progress = ccdispatch.Progress{State: ccjob.StateWaiting, Tasks: len(p.spec.Payloads), Waiting: len(p.spec.Payloads)}
			if progress, ok := e.dispatcher.Progress(id); ok {
				found.progress = progress
			}
		}
	})
	return found
}

func (e *Entry) getJob(c *gin.Context) {
	id := ccjob.ID(c.Param("job"))
	found := e.lookup(id)
	switch {
	case !found.known:
		respond(c, ccjob.Fail(id, ccjob.KindNotFound, false, "this entry does not know the job"))
	case found.ended:
		respond(c, found.outcome)
	default:
		c.JSON(http.StatusOK, struct {
			JobID ccjob.ID `json:"jobID"`
			ccdispatch.Progress
		}{id, found.progress})
	}
}

// deleteJob cancels what has not started. The answer is the job's outcome, as
// its submitters get it too.
func (e *Entry) deleteJob(c *gin.Context) {
	id := ccjob.ID(c.Param("job"))
	outcome := make(chan ccjob.Outcome, 1)
	known := false
	e.ask(func(now time.Time) {
		if p, ok := e.pending[id]; ok && p.driven {
			known = true
			p.waiters = append(p.waiters, outcome)
			e.dispatcher.Cancel(now, id)
		}
	})
	if known {
		select {
		case o := <-outcome:
			respond(c, o)
		case <-e.stopped:
		}
		return
	}
	if found := e.lookup(id); found.ended {
		respond(c, found.outcome)
		return
	}
	c.Status(http.StatusNotFound)
	respond(c, ccjob.Fail(id, ccjob.KindNotFound, false, "this entry does not drive the job"))
}
