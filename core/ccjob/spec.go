package ccjob

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 1500

// Spec describes a job as submitted by its client.
type Spec struct {
	ID         ID
	Service    string
	Team       string
	Deadline   time.Duration // Relative to when the entry read the request.
	Idempotent bool
	Payloads   []string // One per task, in task order.
}

// Digest returns a hash of what the job does: service, team, idempotence and
// payloads. The deadline is left out, since it may differ between submissions of
// one job.
func (s *Spec) Digest() uint64 {
	digest := xxhash.New()
	writeField(digest, s.Service)
	writeField(digest, s.Team)
	writeField(digest, fmt.Sprint(s.Idempotent))
	for _, payload := range s.Payloads {
		writeField(digest, payload)
	}
	return digest.Sum64()
}

// writeField writes the length before the text, so that different lists of fields
// never produce the same bytes.
func writeField(digest *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	// Writes to an xxhash digest never fail.
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}

// Limits are enforced by Validate.
type Limits struct {
	MaxPayloadBytes int
	MaxDeadline     time.Duration
}

// Validate checks that the job is complete and within the limits. The error is an
// *Error of KindInvalid or KindTooLarge.
func (s *Spec) Validate(limits Limits) error {
	switch {
	case len(s.Payloads) == 0:
		return newError("validate", KindInvalid, "a job has at least one task")
	case len(s.Payloads) > MaxTasks:
		return newError("validate", KindTooLarge, fmt.Sprintf("a job has at most %d tasks", MaxTasks))
	case s.Team == "":
		return newError("validate", KindInvalid, "team is missing")
	case s.Deadline <= 0 || s.Deadline > limits.MaxDeadline:
		return newError("validate", KindInvalid, fmt.Sprintf("deadline is above 0s and at most %s", limits.MaxDeadline))
	}
	for index, payload := range s.Payloads {
		if len(payload) > limits.MaxPayloadBytes {
			return newError("validate", KindTooLarge, fmt.Sprintf("task %d: a payload has at most %d bytes", index, limits.MaxPayloadBytes))
		}
	}
	return nil
}
