package ccstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
)

// postTask runs one task.
func (t *Target) postTask(c *gin.Context) {
	speed, failing, resumed := t.begin(c.GetHeader("Idempotency-Key"))
	defer t.end()
	payload, err := io.ReadAll(io.LimitReader(c.Request.Body, maxTargetBody))
	if err != nil {
		c.String(http.StatusBadRequest, "the body can't be read\n")
		return
	}
	if failing {
		c.String(http.StatusInternalServerError, "failing\n")
		return
	}
	run, answer := parsePayload(payload)
	timer := time.NewTimer(time.Duration(float64(run) / speed))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.Request.Context().Done():
		return
	}
	select {
	case <-resumed:
	case <-c.Request.Context().Done():
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", answer)
}

// begin logs the start of a task and returns the switches for it.
func (t *Target) begin(key string) (speed float64, failing bool, resumed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	if t.faults.Slots > 0 && t.running > t.faults.Slots {
		t.overruns++
	}
	if key != "" {
		t.recordStart(key)
	}
	return t.faults.Speed, t.faults.Failing, t.resumed
}

// recordStart keeps the start, and forgets the oldest quarter at the bound.
func (t *Target) recordStart(key string) {
	if t.seen[key] > 0 {
		t.doubles++
	}
	t.seen[key]++
	if len(t.starts) >= maxStarts {
		dropped := maxStarts / 4
		for _, start := range t.starts[:dropped] {
			delete(t.seen, start.Key)
		}
		t.starts = append([]TargetStart(nil), t.starts[dropped:]...)
	}
	t.starts = append(t.starts, TargetStart{Key: key, At: time.Now()})
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// parsePayload returns how long a payload runs at speed 1, and its answer.
func parsePayload(payload []byte) (time.Duration, []byte) {
	var task struct {
		RunMS *float64 `json:"runMS"`
		Echo  string   `json:"echo"`
	}
	if err := json.Unmarshal(payload, &task); err != nil || task.RunMS == nil {
		return defaultRun, payload
	}
	return time.Duration(*task.RunMS * float64(time.Millisecond)), []byte(task.Echo)
}

// getStarts writes the log of starts and the counts.
func (t *Target) getStarts(c *gin.Context) {
	c.JSON(http.StatusOK, struct {
		Starts   []TargetStart `json:"starts"`
		Doubles  int           `json:"doubles"`
		Overruns int           `json:"overruns"`
	}{t.Starts(), t.Doubles(), t.Overruns()})
}

// putFaults sets the switches that the body names and leaves the others.
func (t *Target) putFaults(c *gin.Context) {
	faults := t.Faults()
	decoder := json.NewDecoder(io.LimitReader(c.Request.Body, maxTargetBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		c.String(http.StatusBadRequest, "the faults can't be read: "+err.Error()+"\n")
		return
	}
	t.SetFaults(faults)
	c.JSON(http.StatusOK, t.Faults())
}
