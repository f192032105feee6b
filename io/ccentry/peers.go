package ccentry

import (
	"encoding/json"
	"errors"

	"camphorcroft/io/ccrpc"
)

var errUnknownMethod = errors.New("unknown method")

// peerHandler takes what other entries send.
type peerHandler struct {
	entry *Entry
}

// Notified takes notifications.
func (h *peerHandler) Notified(*ccrpc.Peer, string, json.RawMessage) {}

// Called takes requests.
func (h *peerHandler) Called(_ *ccrpc.Peer, method string, _ json.RawMessage, reply func(any, error)) {
	reply(nil, &ccrpc.Error{Op: method, Kind: ccrpc.KindRefused, Err: errUnknownMethod})
}

// Closed has nothing to clear.
func (h *peerHandler) Closed(*ccrpc.Peer) {}
