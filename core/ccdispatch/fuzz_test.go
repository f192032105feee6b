package ccdispatch_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
	"camphorcroft/core/ccwire"
)

// FuzzReport feeds arbitrary reports and revoke replies, one per line, to a
// dispatcher on behalf of an agent that was sent the tasks of a job. It checks
// that the job ends at most once and that a complete job has all its answers.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"free":1,"jobs":[{"id":"j","claim":1,"tasks":[{"index":0,"attempt":1,"code":"done"},{"index":1,"attempt":1,"code":"done"},{"index":2,"attempt":1,"code":"done"}]}]}`))
	f.Add([]byte(`{"free":-9,"offer":9,"jobs":[{"id":"j","claim":1,"tasks":[{"index":0,"attempt":1,"code":"full"},{"index":-1,"attempt":1,"code":"lost"}]}]}` + "\n" +
		`{"jobs":[{"id":"j","claim":1,"tasks":[{"index":0,"attempt":2,"code":"failed","runMS":-1e308}]}]}`))
	f.Add([]byte(`{"jobs":[{"id":"j","claim":1,"tasks":[{"index":1,"attempt":1,"code":"fenced"},{"index":2,"attempt":1,"code":"unheardOf"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		const tasks = 3
		agent := ccnode.Ref{ID: "a", Incarnation: 1}
		b := newTestbed(t, nil)
		b.connectAgent(agent.ID, agent.Incarnation, "north", 8)
		b.submit("j", tasks)
		for line := range bytes.Lines(data) {
			var reply ccwire.RevokeReply
			if json.Unmarshal(line, &reply) == nil && len(line)%2 == 0 {
				reply.Agent = agent
				b.dispatcher.HandleRevokeReply(b.now, reply)
			}
			var report ccwire.Report
			if json.Unmarshal(line, &report) == nil {
				report.Agent, report.Session = agent, 1
				b.dispatcher.HandleReport(b.now, report)
			}
			b.runActions()
		}
		if len(b.endJobs) > 1 {
			t.Fatalf("the job ended %d times", len(b.endJobs))
		}
		for _, end := range b.endJobs {
			if end.Outcome.State == ccjob.StateComplete && len(end.Outcome.Answers) != tasks {
				t.Fatalf("complete with %d answers", len(end.Outcome.Answers))
			}
		}
	})
}
