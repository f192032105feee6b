package ccentry

import (
	"encoding/json"
	"errors"
	"sync"

	"camphorcroft/io/ccrpc"
)

var errUnknownMethod = errors.New("unknown method")

// peerHandler takes what other entries send.
type peerHandler struct {
	entry *Entry
	// accepted has the open connections of others, by *ccrpc.Peer. A connection is
	// noted with its first message.
	accepted sync.Map
}

// closeAll ends the connections that others made.
func (h *peerHandler) closeAll() {
	h.accepted.Range(func(peer, _ any) bool {
		peer.(*ccrpc.Peer).Close()
		return true
	})
}

// Notified takes notifications.
func (h *peerHandler) Notified(peer *ccrpc.Peer, method string, params json.RawMessage) {
	h.accepted.Store(peer, nil)
	h.entry.presence.notified(method, params)
}

// Called takes requests.
func (h *peerHandler) Called(peer *ccrpc.Peer, method string, params json.RawMessage, reply func(any, error)) {
	h.accepted.Store(peer, nil)
	if h.entry.presence.called(method, params, reply) {
		return
	}
	reply(nil, &ccrpc.Error{Op: method, Kind: ccrpc.KindRefused, Err: errUnknownMethod})
}

// Closed forgets the connection.
func (h *peerHandler) Closed(peer *ccrpc.Peer) { h.accepted.Delete(peer) }
