package ccentry

import (
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/cclimit"
	"camphorcroft/core/ccsettings"
)

// smallBody is the length up to which the tasks of a body are all decoded. Their list takes
// at most ten times its length.
const smallBody = 64 << 10

// submission is the body of a submission.
type submission[T []task | taskList] struct {
	JobID      string               `json:"jobID"`
	Team       string               `json:"team"`
	Deadline   *ccsettings.Duration `json:"deadline"`
	Idempotent bool                 `json:"idempotent"`
	Tasks      T                    `json:"tasks"`
}

// task is a task of a submission.
type task struct {
	Payload string `json:"payload"`
}

// taskList are the tasks of a large submission. One task more than a job may have is enough
// to refuse it.
type taskList []task

// UnmarshalJSON decodes the tasks up to the first one too many.
func (l *taskList) UnmarshalJSON(data []byte) error {
	tasks, err := cclimit.Elements[task](data, ccjob.MaxTasks+1, true)
	*l = tasks
	return err
}

// decodeSubmission reads the body of a submission.
func decodeSubmission(c *gin.Context, limit int64) (submission[[]task], error) {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	decoder.DisallowUnknownFields()
	var body submission[[]task]
	if length := c.Request.ContentLength; length >= 0 && length <= smallBody {
		err := decoder.Decode(&body)
		return body, err
	}
	var large submission[taskList]
	err := decoder.Decode(&large)
	return submission[[]task]{large.JobID, large.Team, large.Deadline, large.Idempotent, large.Tasks}, err
}
