package ccrpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"camphorcroft/io/cclimit"
)

// limiter bounds what the peer of an accepted connection makes the process hold. A
// *cclimit.Stream is one.
type limiter interface {
	MaxFrame() int
	Reserve(bytes int) bool
	Done()
	Identified()
	RefuseFrame()
}

var errFrame = errors.New("message is over the limit")

// limitedCodec is jsonrpc2.VarintObjectCodec with limits on what is read. A peer whose first
// message is valid counts as identified.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
	limiter    limiter
	identified bool
}

// ReadObject reads a message. The library calls it from one goroutine.
func (c *limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > uint64(c.limiter.MaxFrame()) {
		c.limiter.RefuseFrame()
		return &Error{Op: "read message", Kind: KindTooLarge, Err: errFrame}
	}
	message, err := cclimit.ReadMessage(stream, int(size), c.limiter.Reserve)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(message, v); err != nil {
		return err
	}
	if !c.identified {
		c.identified = true
		c.limiter.Identified()
	}
	c.limiter.Done()
	return nil
}
