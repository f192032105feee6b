package ccjob_test

import (
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
)

var limits = ccjob.Limits{MaxPayloadBytes: 8, MaxDeadline: time.Minute}

// with returns a valid job after one change.
func with(change func(*ccjob.Spec)) *ccjob.Spec {
	spec := &ccjob.Spec{ID: "job", Service: "proof", Team: "team", Deadline: time.Second, Payloads: []string{"ab", "c"}}
	change(spec)
	return spec
}

func TestDigest(t *testing.T) {
	plain := with(func(*ccjob.Spec) {}).Digest()
	for name, change := range map[string]func(*ccjob.Spec){
		"service":         func(s *ccjob.Spec) { s.Service = "other" },
		"team":            func(s *ccjob.Spec) { s.Team = "other" },
		"idempotent":      func(s *ccjob.Spec) { s.Idempotent = true },
		"payload":         func(s *ccjob.Spec) { s.Payloads[1] = "d" },
		"orderOfPayloads": func(s *ccjob.Spec) { s.Payloads = []string{"c", "ab"} },
		"cutOfPayloads":   func(s *ccjob.Spec) { s.Payloads = []string{"a", "bc"} },
		"joinedPayloads":  func(s *ccjob.Spec) { s.Payloads = []string{"abc"} },
		"emptyPayload":    func(s *ccjob.Spec) { s.Payloads = append(s.Payloads, "") },
		"cutOfNames":      func(s *ccjob.Spec) { s.Service, s.Team = "prooft", "eam" },
		"swappedNames":    func(s *ccjob.Spec) { s.Service, s.Team = s.Team, s.Service },
	} {
		t.Run(name+"Counts", func(t *testing.T) {
			if with(change).Digest() == plain {
				t.Error("the digests are equal")
			}
		})
	}
	for name, change := range map[string]func(*ccjob.Spec){
		"id":       func(s *ccjob.Spec) { s.ID = "other" },
		"deadline": func(s *ccjob.Spec) { s.Deadline = time.Minute },
	} {
		t.Run(name+"DoesNotCount", func(t *testing.T) {
			if with(change).Digest() != plain {
				t.Error("the digests differ")
			}
		})
	}
}

func TestValidate(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*ccjob.Spec)
		want   ccjob.Kind
	}{
		"valid":           {func(*ccjob.Spec) {}, ""},
		"noTask":          {func(s *ccjob.Spec) { s.Payloads = nil }, ccjob.KindInvalid},
		"mostTasks":       {func(s *ccjob.Spec) { s.Payloads = make([]string, ccjob.MaxTasks) }, ""},
		"tooManyTasks":    {func(s *ccjob.Spec) { s.Payloads = make([]string, ccjob.MaxTasks+1) }, ccjob.KindTooLarge},
		"noTeam":          {func(s *ccjob.Spec) { s.Team = "" }, ccjob.KindInvalid},
		"noDeadline":      {func(s *ccjob.Spec) { s.Deadline = 0 }, ccjob.KindInvalid},
		"negative":        {func(s *ccjob.Spec) { s.Deadline = -1 }, ccjob.KindInvalid},
		"longestDeadline": {func(s *ccjob.Spec) { s.Deadline = time.Minute }, ""},
		"tooLongDeadline": {func(s *ccjob.Spec) { s.Deadline = time.Minute + 1 }, ccjob.KindInvalid},
		"largestPayload":  {func(s *ccjob.Spec) { s.Payloads[1] = strings.Repeat("x", 8) }, ""},
		"tooLargePayload": {func(s *ccjob.Spec) { s.Payloads[1] = strings.Repeat("x", 9) }, ccjob.KindTooLarge},
	} {
		t.Run(name, func(t *testing.T) { assertKind(t, with(c.change).Validate(limits), c.want) })
	}
}
