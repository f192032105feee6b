package ccjob_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"camphorcroft/core/ccjob"
)

func assertKind(t *testing.T, err error, want ccjob.Kind) {
	t.Helper()
	var jobError *ccjob.Error
	switch {
	case want == "" && err != nil:
		t.Errorf("unexpected error: %v", err)
	case want != "" && (!errors.As(err, &jobError) || jobError.Kind != want):
		t.Errorf("error: %v, want one of kind %s", err, want)
	}
}

func TestParseID(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want ccjob.Kind
	}{
		"empty":               {"", ccjob.KindInvalid},
		"everyCharacterRange": {"azAZ09._-", ""},
		"longest":             {strings.Repeat("x", ccjob.MaxIDLength), ""},
		"tooLong":             {strings.Repeat("x", ccjob.MaxIDLength+1), ccjob.KindInvalid},
		"slash":               {"a/b", ccjob.KindInvalid},
		"space":               {"a b", ccjob.KindInvalid},
		"newline":             {"a\n", ccjob.KindInvalid},
		"nonASCII":            {"é", ccjob.KindInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			id, err := ccjob.ParseID(c.text)
			assertKind(t, err, c.want)
			if err == nil && string(id) != c.text {
				t.Errorf("ID: %q, want %q", id, c.text)
			}
		})
	}
}

func TestIDTime(t *testing.T) {
	for name, c := range map[string]struct {
		id   ccjob.ID
		want int64 // Unix time in milliseconds; zero if there is none.
	}{
		// The example from RFC 9562, appendix A.6.
		"version7":       {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0},
		"withoutHyphens": {"017f22e279b07cc398c4dc0c0c07398f", 0x017f22e279b0},
		"version4":       {"919108f7-52d1-4320-9bac-f847db4148a8", 0},
		"version1":       {"c232ab00-9414-11ec-b3c8-9f6bdeced846", 0},
		"nil":            {"00000000-0000-0000-0000-000000000000", 0},
		"notAUUID":       {"nightly-report", 0},
		"truncated":      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398", 0},
		"nonHexLetter":   {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", 0},
		"empty":          {"", 0},
		"maxTimestamp":   {"ffffffff-ffff-7000-8000-000000000000", 0xffffffffffff},
	} {
		t.Run(name, func(t *testing.T) {
			at, ok := c.id.Time()
			if ok != (c.want != 0) || ok && !at.Equal(time.UnixMilli(c.want)) {
				t.Errorf("timestamp: %v (%t), want %d ms", at, ok, c.want)
			}
		})
	}
}
