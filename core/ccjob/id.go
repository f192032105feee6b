// Package ccjob defines jobs as clients submit them and the outcomes that clients
// get back.
//
// A job is a list of tasks for one service. The client chooses the job's ID, so
// that it can resubmit a job whose answer may be lost. An ID that is a version 7
// UUID contains the time of its creation, which allows an authority to prove that
// it can't have seen the job before.
//
// # Usage
//
//	spec := ccjob.Spec{ID: id, Service: "proof", Payloads: payloads}
//	if err := spec.Validate(limits); err != nil {
//		return ccjob.Refuse(spec.ID, ccjob.KindInvalid, err.Error())
//	}
package ccjob

import (
	"time"

	"github.com/google/uuid"
)

// MaxIDLength is the maximum length of a job ID, in bytes.
const MaxIDLength = 64

// ID identifies a job. The client chooses it.
type ID string

// ParseID validates the length and the characters of a job ID. The error is an
// *Error of KindInvalid.
func ParseID(text string) (ID, error) {
	if text == "" || len(text) > MaxIDLength {
		return "", newError("parse ID", KindInvalid, "a jobID has 1 to 64 characters")
	}
	for _, c := range []byte(text) {
		if !isIDByte(c) {
			return "", newError("parse ID", KindInvalid, "a jobID has only letters, digits, '.', '_' and '-'")
		}
	}
	return ID(text), nil
}

func isIDByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// Time returns the timestamp of the ID, and whether it has one. Only a version 7
// UUID does.
func (id ID) Time() (time.Time, bool) {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	milliseconds := int64(0)
	for _, b := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}
