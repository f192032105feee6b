package ccentry

import (
	"testing"
	"time"
)

func TestVersionAge(t *testing.T) {
	e := &Entry{}
	now := time.Unix(1_700_000_000, 0)
	if age := e.versionAge(now); age != 0 {
		t.Errorf("before the first settings: got %s", age)
	}
	e.versionSince = now.Add(-time.Second)
	if age := e.versionAge(now); age != time.Second {
		t.Errorf("got %s", age)
	}
}
