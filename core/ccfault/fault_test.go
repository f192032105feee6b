package ccfault

import (
	"strings"
	"testing"
	"time"
)

func assertError(t *testing.T, err error, part string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), part) {
		t.Errorf("error = %v, want one containing %q", err, part)
	}
}

func TestParse(t *testing.T) {
	t.Run("sortsByTime", func(t *testing.T) {
		faults, err := Parse([]byte(`[{"at":"5s","kind":"killAgent","number":2},{"at":"1s","kind":"domainOut","domain":"mira"}]`))
		if err != nil || len(faults) != 2 || faults[0].String() != "domainOut mira" || faults[1].String() != "killAgent 2" {
			t.Errorf("Parse = %v, error %v; want domainOut before killAgent", faults, err)
		}
	})
	for name, c := range map[string]struct{ text, part string }{
		"notJSON":         {"kill", "syntax"},
		"unknownKind":     {`[{"at":"1s","kind":"explode"}]`, `fault 1: kind "explode" is unknown`},
		"slowNeedsFactor": {`[{"at":"1s","kind":"slow"}]`, "fault 1: factor"},
		"domainIsMissing": {`[{"at":"1s","kind":"domainIn"}]`, "fault 1: domain"},
		"negativeNumber":  {`[{"at":"1s","kind":"killEntry","number":-1}]`, "fault 1: at and number"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			assertError(t, err, c.part)
		})
	}
}

func TestNamed(t *testing.T) {
	for _, name := range BuiltinNames {
		t.Run(name, func(t *testing.T) {
			faults, err := Builtin(name, 20*time.Second, "mira")
			if err != nil {
				t.Fatal(err)
			}
			for i, fault := range faults {
				if text := fault.validate(); text != "" || fault.At.Std() >= 20*time.Second {
					t.Errorf("fault %d (%s): problem %q, or at or after the end of the run", i, fault, text)
				}
			}
		})
	}
	t.Run("unknown", func(t *testing.T) {
		_, err := Builtin("earthquake", time.Second, "mira")
		assertError(t, err, "earthquake")
	})
}
