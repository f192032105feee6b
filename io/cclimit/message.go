package cclimit

import (
	"errors"
	"io"

	"camphorcroft/core/cclimit"
)

// messagePart is how much of a message is reserved and read at a time.
const messagePart = 16 << 10

var errReserve = errors.New("the budget is used up")

// ReadMessage reads a message of a known size. It reserves the bytes in parts, each before it
// is read, so that a size without the message takes no memory.
func ReadMessage(from io.Reader, size int, reserve func(bytes int) bool) ([]byte, error) {
	var message []byte
	for len(message) < size {
		part := min(messagePart, size-len(message))
		if !reserve(part) {
			return nil, &cclimit.Error{Op: "read message", Kind: cclimit.KindRefused, Err: errReserve}
		}
		if cap(message) < len(message)+part {
			grown := make([]byte, len(message), min(size, max(2*cap(message), messagePart)))
			copy(grown, message)
			message = grown
		}
		read := message[len(message) : len(message)+part]
		if _, err := io.ReadFull(from, read); err != nil {
			return nil, err
		}
		message = message[:len(message)+part]
	}
	return message, nil
}
