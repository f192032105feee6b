package cccli

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"camphorcroft/core/ccload"
)

func TestLoadUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"unknownProfile":  {"--profile", "nobody"},
		"unknownPolicy":   {"--compare", "lateBinding,guess"},
		"wrongBurst":      {"--burst", "10s,2s"},
		"burstTooLate":    {"--duration", "5s", "--burst", "10s,2s,3"},
		"wrongWave":       {"--cancel", "10s"},
		"noLoad":          {"--load", "0"},
		"unknownFaults":   {"--faults", "earthquake"},
		"entryIsNoAddr":   {"--entries", "localhost:80"},
		"unknownOutput":   {"--output", "xml"},
		"unknownArgument": {"--unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			if code, _, failures := run(t, append([]string{"load"}, args...)...); code != ExitUsage {
				t.Errorf("the exit code is %d, want %d: %s", code, ExitUsage, failures)
			}
		})
	}
}

func TestLoadTrace(t *testing.T) {
	trace := filepath.Join(t.TempDir(), "trace.jsonl")
	report := func(args ...string) ccload.Report {
		t.Helper()
		args = append([]string{"load", "--profile", "maregrafo", "--entry-count", "1", "--output", "json"}, args...)
		code, data, failures := run(t, args...)
		var reports []ccload.Report
		if err := json.Unmarshal([]byte(data), &reports); err != nil || len(reports) != 1 {
			t.Fatalf("exit code %d, %d reports, error %v: %s", code, len(reports), err, failures)
		}
		if code != ExitOK || !reports[0].Holds() {
			t.Errorf("exit code %d, want %d: %s", code, ExitOK, failures)
		}
		return reports[0]
	}
	planned := report("--duration", "500ms", "--load", "0.2", "--seed", "3", "--trace-out", trace)
	replayed := report("--trace-in", trace)
	if planned.Jobs == 0 || planned.Jobs != replayed.Jobs || planned.Tasks != replayed.Tasks {
		t.Errorf("%d jobs with %d tasks were planned, and %d with %d replayed", planned.Jobs, planned.Tasks, replayed.Jobs, replayed.Tasks)
	}
}
