package ccevent

import (
	"encoding/json"
	"io"
	"testing"

	"camphorcroft/core/ccnode"
)

// FuzzMerge merges arbitrary events, as processes may send them, into a timeline
// and renders it in every format.
func FuzzMerge(f *testing.F) {
	history, err := json.Marshal(historyEvents())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(history)
	f.Add([]byte(`[{"seq":0},{"seq":18446744073709551615,"cause":{"node":"a","seq":3}},{"node":{"id":"a"},"seq":3,"cause":{"node":"","seq":1}}]`))
	f.Add([]byte(`[{"node":{"id":"a"},"seq":1,"at":"0001-01-01T00:00:00Z","cause":{"node":"b","seq":1}},{"node":{"id":"b"},"seq":1,"at":"9999-12-31T23:59:59Z","cause":{"node":"a","seq":1}},{"node":{"id":"b"},"seq":2,"at":"9999-12-31T23:59:59Z","cause":{"node":"a","seq":1},"index":-9,"count":-1}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var events []Event
		if json.Unmarshal(data, &events) != nil {
			return
		}
		type key struct {
			node ccnode.Ref
			seq  uint64
		}
		distinct := make(map[key]bool)
		for _, event := range events {
			distinct[key{event.Node, event.Seq}] = true
		}
		timeline := Merge(events)
		if len(timeline.Steps) != len(distinct) {
			t.Fatalf("got %d steps of %d events", len(timeline.Steps), len(distinct))
		}
		for i := 1; i < len(timeline.Steps); i++ {
			if timeline.Steps[i].When.Before(timeline.Steps[i-1].When) {
				t.Fatal("time decreases from one step to the next")
			}
		}
		for _, write := range []func(io.Writer, Timeline) error{WriteText, WriteSVG} {
			if err := write(io.Discard, timeline); err != nil {
				t.Fatal(err)
			}
		}
		for i := range min(3, len(events)) {
			Explain(timeline, events[i].Job)
		}
	})
}
