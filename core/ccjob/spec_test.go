package ccjob_test

import (
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
)

var limits = ccjob.Limits{MaxPayloadBytes: 8, MaxDeadline: time.Minute}

// modifiedSpec returns a valid job with one change applied.
func modifiedSpec(change func(*ccjob.Spec)) *ccjob.Spec {
	spec := &ccjob.Spec{ID: "job", Service: "proof", Team: "team", Deadline: time.Second, Payloads: []string{"ab", "c"}}
	change(spec)
	return spec
}

func TestDigest(t *testing.T) {
	unmodified := modifiedSpec(func(*ccjob.Spec) {}).Digest()
	for name, change := range map[string]func(*ccjob.Spec){
		"service":         func(s *ccjob.Spec) { s.Service = "other" },
		"team":            func(s *ccjob.Spec) { s.Team = "other" },
		"idempotent":      func(s *ccjob.Spec) { s.Idempotent = true },
		"payload":         func(s *ccjob.Spec) { s.Payloads[1] = "d" },
		"payloadOrder":    func(s *ccjob.Spec) { s.Payloads = []string{"c", "ab"} },
		"payloadBoundary": func(s *ccjob.Spec) { s.Payloads = []string{"a", "bc"} },
		"joinedPayloads":  func(s *ccjob.Spec) { s.Payloads = []string{"abc"} },
		"emptyPayload":    func(s *ccjob.Spec) { s.Payloads = append(s.Payloads, "") },
		"nameBoundary":    func(s *ccjob.Spec) { s.Service, s.Team = "prooft", "eam" },
		"swappedNames":    func(s *ccjob.Spec) { s.Service, s.Team = s.Team, s.Service },
	} {
		t.Run(name+"ChangesDigest", func(t *testing.T) {
			if modifiedSpec(change).Digest() == unmodified {
				t.Error("the digests are equal")
			}
		})
	}
	for name, change := range map[string]func(*ccjob.Spec){
		"id":       func(s *ccjob.Spec) { s.ID = "other" },
		"deadline": func(s *ccjob.Spec) { s.Deadline = time.Minute },
	} {
		t.Run(name+"DoesNotChangeDigest", func(t *testing.T) {
			if modifiedSpec(change).Digest() != unmodified {
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
		"valid":            {func(*ccjob.Spec) {}, ""},
		"noTask":           {func(s *ccjob.Spec) { s.Payloads = nil }, ccjob.KindInvalid},
		"maxTasks":         {func(s *ccjob.Spec) { s.Payloads = make([]string, ccjob.MaxTasks) }, ""},
		"tooManyTasks":     {func(s *ccjob.Spec) { s.Payloads = make([]string, ccjob.MaxTasks+1) }, ccjob.KindTooLarge},
		"noTeam":           {func(s *ccjob.Spec) { s.Team = "" }, ccjob.KindInvalid},
		"noDeadline":       {func(s *ccjob.Spec) { s.Deadline = 0 }, ccjob.KindInvalid},
		"negativeDeadline": {func(s *ccjob.Spec) { s.Deadline = -1 }, ccjob.KindInvalid},
		"longestDeadline":  {func(s *ccjob.Spec) { s.Deadline = time.Minute }, ""},
		"tooLongDeadline":  {func(s *ccjob.Spec) { s.Deadline = time.Minute + 1 }, ccjob.KindInvalid},
		"largestPayload":   {func(s *ccjob.Spec) { s.Payloads[1] = strings.Repeat("x", 8) }, ""},
		"tooLargePayload":  {func(s *ccjob.Spec) { s.Payloads[1] = strings.Repeat("x", 9) }, ccjob.KindTooLarge},
	} {
		t.Run(name, func(t *testing.T) { assertKind(t, modifiedSpec(c.change).Validate(limits), c.want) })
	}
}
