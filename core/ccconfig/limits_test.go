package ccconfig

import (
	"strings"
	"testing"
)

// Guards against limits that are not those of the file, and invalid ones whose error does
// not name the file and the key.
func TestLimits(t *testing.T) {
	const process = "node: e\ndomain: north\nlisten: 127.0.0.1:7100\nhttp: 127.0.0.1:7101\nstore: 127.0.0.1:7000\nplatform: {}\n"
	for text, want := range map[string]string{
		"": "", "limits: {memoryMB: 144, maxDescriptors: 3075}\n": "",
		"limits: {memoryMB: 0}\n":                    "limits.memoryMB",
		"limits: {memoryMB: 60}\n":                   "limits.memoryMB",
		"limits: {maxDescriptors: -1}\n":             "limits.maxDescriptors",
		"limits: {maxTasks: 3000}\n":                 "limits.maxTasks",
		"limits: {maxTasks: 100000000}\n":            "limits.memoryMB",
		"limits: {requests: {memoryKB: 100}}\n":      "limits.requests.memoryKB",
		"limits: {sessions: {memoryKB: 2000000}}\n":  "limits.memoryMB",
		"limits: {control: {connections: 0}}\n":      "limits.control.connections",
		"limits: {requests: {connections: 10000}}\n": "limits.maxDescriptors",
		"limits: {bodyTimeout: 0s}\n":                "limits.bodyTimeout",
		"limits: {memory: 5}\n":                      "field memory not found",
	} {
		cfg, err := Parse("file.yaml", []byte(process+text))
		if want != "" {
			if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "file.yaml") {
				t.Errorf("%q: error %v", text, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		limits, err := cfg.ClientLimits()
		if err != nil || text != "" && (limits.Host.Memory != 144<<20 || limits.Host.Descriptors != 3075) {
			t.Errorf("%q: limits %+v, error %v", text, limits, err)
		}
	}
}
