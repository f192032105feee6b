package ccagent

import (
	"bytes"
	"encoding/json"
	"testing"

	"camphorcroft/core/ccwire"
)

// FuzzDispatch feeds a table with lines of arbitrary dispatches and revokes that
// claim to be of the newest session. No task may start twice, and no more may
// run than there are slots.
func FuzzDispatch(f *testing.F) {
	f.Add([]byte(`{"jobs":[{"id":"j","claim":1,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":1},{"index":0,"attempt":2}]}]}`))
	f.Add([]byte(`{"jobs":[{"id":"j","claim":1,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":2}]}]}` + "\n" +
		`{"jobs":[{"id":"j","claim":2,"budgetMS":1000,"service":"proof","tasks":[{"index":0,"attempt":1},{"index":-1,"attempt":1}]}],"want":-5}`))
	f.Add([]byte(`{"jobs":[{"id":"","claim":18446744073709551615,"budgetMS":-1,"tasks":[{"index":9223372036854775807,"attempt":-9223372036854775808}]}],"version":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newBench(t, Config{})
		started := make(map[string]bool)
		for line := range bytes.Lines(data) {
			var revoke ccwire.Revoke
			if json.Unmarshal(line, &revoke) == nil {
				revoke.Agent = agentRef
				_, _ = b.table.Revoke(b.now, revoke)
			}
			var msg ccwire.Dispatch
			if json.Unmarshal(line, &msg) != nil {
				continue
			}
			msg.Agent, msg.Session, msg.Echo = agentRef, 1, b.table.Clock(b.now).Milliseconds()
			for _, start := range b.table.Dispatch(b.now, entryA, msg).Starts {
				key, _ := json.Marshal([]any{start.Job, start.Index})
				if started[string(key)] {
					t.Fatalf("task %s started twice", key)
				}
				started[string(key)] = true
			}
			if b.table.Running() > b.table.Slots() {
				t.Fatalf("%d tasks run in %d slots", b.table.Running(), b.table.Slots())
			}
			if _, err := json.Marshal(b.table.describe(b.now, b.table.sessions[entryA.ID])); err != nil {
				t.Fatal(err)
			}
		}
	})
}
