package ccwire

import (
	"bytes"
	"encoding/json"
	"testing"

	"camphorcroft/core/ccjob"
	"camphorcroft/core/ccnode"
)

// bodies has a constructor for each message that a process decodes from another one.
var bodies = []func() any{
	func() any { return new(Hello) },
	func() any { return new(HelloReply) },
	func() any { return new(Dispatch) },
	func() any { return new(Report) },
	func() any { return new(Revoke) },
	func() any { return new(RevokeReply) },
	func() any { return new(Recover) },
	func() any { return new(RecoverReply) },
	func() any { return new(Probe) },
	func() any { return new(Claim) },
	func() any { return new(ClaimReply) },
	func() any { return new(Release) },
	func() any { return new(Await) },
	func() any { return new(AwaitReply) },
	func() any { return new(Gather) },
	func() any { return new(GatherReply) },
	func() any { return new(ConsentRequest) },
	func() any { return new(ConsentReply) },
	func() any { return new(Join) },
	func() any { return new(Heartbeat) },
	func() any { return new(HeartbeatReply) },
	func() any { return new(Leave) },
	func() any { return new(LeaveReply) },
	func() any { return new(CellRecord) },
}

// FuzzBodies decodes arbitrary bytes as each message. Whatever decodes must encode
// again, and decoding and encoding that once more must give the same bytes.
func FuzzBodies(f *testing.F) {
	ref := ccnode.Ref{ID: "agent-1", Incarnation: 7}
	seeds := []any{
		Dispatch{Agent: ref, Session: 1, Jobs: []DispatchJob{{ID: "j", Claim: 2, Tasks: []DispatchTask{{Index: 1, Attempt: 1, Payload: "p"}}}}},
		Report{Agent: ref, Jobs: []ReportJob{{ID: "j", Tasks: []TaskReport{{Index: 1, Code: CodeDone, Payload: "a", RunMS: 1.5}}}}},
		Claim{JobID: "j", Digest: 1 << 63, Driver: ref},
		AwaitReply{Known: true, Outcome: ccjob.Complete("j", []ccjob.Answer{{Index: 0, Payload: "a"}})},
		GatherReply{Entry: ref, Slots: []GatherSlot{{Slot: 255, Horizon: 1}}, Claims: []GatherClaim{{JobID: "j"}}},
		CellRecord{Leader: ref, Members: []Member{{Node: ref}}},
	}
	for i, seed := range seeds {
		data, err := json.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	for i := range bodies {
		f.Add(uint8(i), []byte(`{"agent":{"id":"a","incarnation":-1},"jobs":[null],"addr":"1.2.3.4:5"}`))
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		newBody := bodies[int(kind)%len(bodies)]
		body := newBody()
		if json.Unmarshal(data, body) != nil {
			return
		}
		first, err := json.Marshal(body)
		if err != nil {
			t.Fatalf("%T was decoded but can't be encoded: %v", body, err)
		}
		again := newBody()
		if err := json.Unmarshal(first, again); err != nil {
			t.Fatalf("%T was encoded but can't be decoded: %v\n%s", body, err, first)
		}
		if second, _ := json.Marshal(again); !bytes.Equal(first, second) {
			t.Fatalf("%T changed in a round trip:\nbefore: %s\nafter:  %s", body, first, second)
		}
	})
}
