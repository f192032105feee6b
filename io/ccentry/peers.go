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
func (h *peerHandler) Notified(_ *ccrpc.Peer, method string, params json.RawMessage) {
	h.entry.presence.notified(method, params)
}

// Called takes requests.
func (h *peerHandler) Called(_ *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	if h.entry.presence.called(method, params, reply) {
		return
	}
	reply(nil, &ccrpc.Error{Op: method, Kind: ccrpc.KindRefused, Err: errUnknownMethod})
}

// Closed has nothing to clear.
func (h *peerHandler) Closed(*ccrpc.Peer) {}
