package cclab

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// frameOverhead is the bytes that a session adds to a message.
const frameOverhead = 5

// countMessage counts a message between an entry and an agent. A remote one is between two
// failure domains.
func (l *Lab) countMessage(body any, remote bool) {
	l.result.Messages++
	if !remote {
		return
	}
	l.result.RemoteMessages++
	if !l.cfg.MeasureBytes {
		return
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("message %T can't be encoded: %v", body, err))
	}
	l.result.RemoteBytes += frameOverhead + len(data)
}
