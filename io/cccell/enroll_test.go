package cccell

import (
	"strings"
	"testing"

	"camphorcroft/io/ccstore"
)

// Guards against records of another writer that use up the attempts of an agent to find a
// leader.
func TestMalformedLeaders(t *testing.T) {
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	const good = `{"node":{"id":"agent-1","incarnation":1},"addr":"10.0.0.1:7720"}`
	items := []ccstore.Item{{Key: "leads/3", Value: []byte(good)}}
	for key, value := range map[string]string{
		"leads/x": good, "leads/-1": good, "leads/+4": good, "leads/04": good, "leads/": good, "leads/9/1": good,
		"leads/10": `{}`, "leads/11": `null`, "leads/12": deep, "leads/13": "\xff", "leads/14": `{"node":{"id":"agent-1"},"addr":"10.0.0.1:0"}`,
		"leads/15": `{"node":{"id":"agent-1"},"addr":"10.0.0.1:65536"}`, "leads/16": `{"node":{"id":"agent-1"},"addr":"10.0.0.1"}`,
		"leads/17": `{"node":{"id":""},"addr":"10.0.0.1:7720"}`, "leads/18": `{"node":{"id":"agent-1","incarnation":1.5},"addr":"10.0.0.1:7720"}`,
		"leads/99999999999999999999": good,
	} {
		items = append(items, ccstore.Item{Key: key, Value: []byte(value)})
	}
	leaders := decodeLeaders(items)
	if len(leaders) != 1 || leaders[3].Node.ID != "agent-1" {
		t.Errorf("got %v, want the leader of cell 3 alone", leaders)
	}
}
