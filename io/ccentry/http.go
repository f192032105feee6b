package ccentry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"camphorcroft/core/ccjob"
	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccsettings"
	ioevent "camphorcroft/io/ccevent"
	"camphorcroft/io/cclimit"
)

const (
	// maxBodyBytes bounds a submission's body unless the configuration has a lower bound.
	maxBodyBytes = 32 << 20
	// retryAfter is when a client may return whose body found no memory.
	retryAfter        = time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	defaultDeadline   = ccsettings.Duration(10 * time.Second)
)

func (e *Entry) newHTTPServer() *http.Server {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.POST("/v1/services/:service/jobs", e.postJob)
	router.GET("/v1/jobs/:job", e.getJob)
	router.DELETE("/v1/jobs/:job", e.deleteJob)
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", e.getReady)
	router.GET("/debug/vars", e.getVars)
	router.GET("/events", gin.WrapH(ioevent.NewHandler(e.cfg.Ring)))
	router.NoRoute(func(c *gin.Context) {
		respond(c, ccjob.Refuse("", ccjob.KindNotFound, "no such path"))
	})
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (e *Entry) postJob(c *gin.Context) {
	spec, refusal := readSpec(c, e.cfg.MaxBodyBytes)
	if refusal != nil {
		respond(c, *refusal)
		return
	}
	outcome := make(chan ccjob.Outcome, 1)
	e.do(func(now time.Time) { e.submit(now, spec, outcome) })
	select {
	case o := <-outcome:
		respond(c, o)
	case <-c.Request.Context().Done():
		// The client has gone; the job goes on, and may be submitted again.
	case <-e.stopped:
		respond(c, ccjob.Fail(spec.ID, ccjob.KindUnavailable, false, "this entry has stopped"))
	}
}

// readSpec reads the body of a submission. It returns a refusal when it can't.
func readSpec(c *gin.Context, limit int64) (*ccjob.Spec, *ccjob.Outcome) {
	body, err := decodeSubmission(c, limit)
	if err != nil {
		refusal := refuseBody(err)
		return nil, &refusal
	}
	id, err := ccjob.ParseID(body.JobID)
	if err != nil {
		refusal := ccjob.Refuse("", ccjob.KindInvalid, err.Error())
		return nil, &refusal
	}
	deadline := defaultDeadline
	if body.Deadline != nil {
		deadline = *body.Deadline
	}
	spec := &ccjob.Spec{
		ID: id, Service: c.Param("service"), Team: body.Team, Deadline: deadline.Std(), Idempotent: body.Idempotent,
		Payloads: make([]string, len(body.Tasks)),
	}
	for i := range body.Tasks {
		spec.Payloads[i] = body.Tasks[i].Payload
	}
	return spec, nil
}

// requestLimits returns the limits of this interface's requests.
func requestLimits() cclimit.HTTPLimits {
	return cclimit.HTTPLimits{HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func refuseBody(err error) ccjob.Outcome {
	if cclimit.Refused(err) {
		refusal := ccjob.Refuse("", ccjob.KindUnavailable, "no memory for the body")
		refusal.RetryAfter = retryAfter
		return refusal
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ccjob.Refuse("", ccjob.KindTooLarge, "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return ccjob.Refuse("", ccjob.KindInvalid, "the body is not a job: "+corelimit.ErrorText(err))
}

// respond writes an outcome in the one shape that all answers have.
func respond(c *gin.Context, outcome ccjob.Outcome) {
	status := statusOf(&outcome)
	if status == http.StatusOK {
		c.JSON(status, struct {
			JobID   ccjob.ID       `json:"jobID"`
			State   ccjob.State    `json:"state"`
			Answers []ccjob.Answer `json:"answers"`
		}{outcome.JobID, outcome.State, outcome.Answers})
		return
	}
	if outcome.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(outcome.RetryAfter.Seconds())))
	}
	c.JSON(status, struct {
		JobID  ccjob.ID    `json:"jobID"`
		State  ccjob.State `json:"state"`
		NotRun bool        `json:"notRun"`
		Kind   ccjob.Kind  `json:"kind"`
		Reason string      `json:"reason"`
	}{outcome.JobID, outcome.State, outcome.NotRun, outcome.Kind, outcome.Reason})
}

func (e *Entry) getReady(c *gin.Context) {
	ready := false
	e.ask(func(time.Time) { ready = e.ready() })
	if !ready {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
