package ccentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"

	"camphorcroft/core/ccjob"
)

// Guards against large submissions that are read otherwise than small ones, and against
// lists whose decoded tasks take far more memory than the body.
func TestSubmissionSizes(t *testing.T) {
	for _, size := range []int{0, 2 * smallBody} {
		payload := strings.Repeat("x", size)
		for tasks, want := range map[string]int{
			`[{"payload":"` + payload + `"},{"payload":"b"}]`:                    2,
			`[{"payload":"` + payload + `"},{"other":1}]`:                        -1,
			`{"payload":"` + payload + `"}`:                                      -1,
			`[{"payload":"` + payload + `"}` + strings.Repeat(",{}", 5000) + `]`: ccjob.MaxTasks + 1,
		} {
			body := `{"jobID":"a","tasks":` + tasks + `}`
			c, _ := gin.CreateTestContext(httptest.NewRecorder())
			c.Request = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
			got, err := decodeSubmission(c, maxBodyBytes)
			if small := len(body) <= smallBody; small && want > ccjob.MaxTasks {
				want = 5001 // All tasks of a small body are decoded, and the job is refused then.
			}
			if (err != nil) != (want < 0) || err == nil && (len(got.Tasks) != want || got.Tasks[0].Payload != payload) {
				t.Errorf("%d bytes: %d tasks, want %d, error %v", len(body), len(got.Tasks), want, err)
			}
		}
	}
}

// Guards against refusals as long as the body whose field they quote.
func TestRefusalsQuoteLittle(t *testing.T) {
	body := `{"` + strings.Repeat("x", 200_000) + `":1}`
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	_, err := decodeSubmission(c, maxBodyBytes)
	if err == nil {
		t.Fatal("an unknown field is accepted")
	}
	if reason := refuseBody(err).Reason; len(reason) > 1000 {
		t.Errorf("the reason has %d bytes", len(reason))
	}
}
