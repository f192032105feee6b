package ccreplay

import (
	"strings"
	"testing"
)

// Guards against the payload of a job that is kept while its runs are being stopped, after its
// caller has left and what was reserved for its body is released.
func TestPayloadEndsWithItsCaller(t *testing.T) {
	f := newFixture(t, "north")
	payload := strings.Repeat("p", 100)
	token := f.submit("job", 1, func(r *Request) { r.Payload = payload })
	f.wantStarts(f.take(), 1)
	f.s.Cancel(f.now, "job", token)
	j := f.s.jobs["job"]
	if j == nil {
		t.Fatal("a job whose run is being stopped is not known")
	}
	if j.request.Payload != "" {
		t.Error("the payload of a job without a caller is kept")
	}
}
