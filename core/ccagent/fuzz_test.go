package ccagent

import (
	"bytes"
	"encoding/json"
	"testing"

	"camphorcroft/core/ccwire"
)

// FuzzDispatch feeds a controller arbitrary dispatches and revokes, one per line,
// as if they came in the newest session. No task may start twice, and no more
// tasks may run than there are slots.
func FuzzDispatch(f *testing.F) {
	f.Add([]byte(`{"jobs":[{"id":"j","claim":1,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":1},{"index":0,"attempt":2}]}]}`))
	f.Add([]byte(`{"jobs":[{"id":"j","claim":1,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":2}]}]}` + "\n" +
		`{"jobs":[{"id":"j","claim":2,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":1},{"index":-1,"attempt":1}]}],"want":-5}`))
	f.Add([]byte(`{"jobs":[{"id":"","claim":18446744073709551615,"budgetMS":-1,"tasks":[{"index":9223372036854775807,"attempt":-9223372036854775808}]}],"version":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newTestbed(t, Config{})
		started := make(map[string]bool)
		for line := range bytes.Lines(data) {
			var revoke ccwire.Revoke
			if json.Unmarshal(line, &revoke) == nil {
				revoke.Agent = agentRef
				_, _ = b.controller.Revoke(b.now, revoke)
			}
			var msg ccwire.Dispatch
			if json.Unmarshal(line, &msg) != nil {
				continue
			}
			msg.Agent, msg.Session, msg.Echo = agentRef, 1, b.controller.Clock(b.now).Milliseconds()
			for _, start := range b.controller.Dispatch(b.now, entryA, msg).Starts {
				key, _ := json.Marshal([]any{start.Job, start.Index})
				if started[string(key)] {
					t.Fatalf("task %s started twice", key)
				}
				started[string(key)] = true
			}
			if b.controller.Running() > b.controller.Slots() {
				t.Fatalf("%d tasks run in %d slots", b.controller.Running(), b.controller.Slots())
			}
			if _, err := json.Marshal(b.controller.newReport(b.now, b.controller.sessions[entryA.ID])); err != nil {
				t.Fatal(err)
			}
		}
	})
}
