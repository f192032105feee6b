package ccrelay

import (
	"bytes"
	"compress/flate"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

const (
	// PieceBytes is the size of a piece. Eight pieces take 65 ms of a link of 2 Mbit/s, well
	// within the silence after which a session is closed.
	PieceBytes = 2 << 10
	// maxEncodedBytes limits an encoded plan, and maxPlanBytes a decoded one. A plan comes from
	// a value of 1 MiB.
	maxEncodedBytes = 2 << 20
	maxPlanBytes    = 8 << 20
)

var errTooLarge = errors.New("plan is too large")

// encoding is deterministic, so that all holders of a plan send the same bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// Holder answers requests for the pieces of a plan. It encodes a plan once. Its zero value is
// ready.
type Holder struct {
	revision uint64
	data     []byte
	sum      uint64
	err      error
}

// Answer returns the piece at a position, or the first one if the position is in another encoding.
func (h *Holder) Answer(plan *ccroute.Plan, position ccwire.PlanPosition) (*ccwire.PlanPiece, error) {
	if h.revision != plan.Revision || h.data == nil {
		h.revision = plan.Revision
		h.data, h.err = encode(plan)
		h.sum = xxhash.Sum64(h.data)
	}
	if h.err != nil {
		return nil, h.err
	}
	offset := position.Offset
	if position.Revision != h.revision || position.Sum != h.sum || offset < 0 || offset >= len(h.data) {
		offset = 0
	}
	return &ccwire.PlanPiece{
		PlanPosition: ccwire.PlanPosition{Revision: h.revision, Sum: h.sum, Offset: offset},
		Size:         len(h.data), Data: h.data[offset:min(offset+PieceBytes, len(h.data))],
	}, nil
}

func encode(plan *ccroute.Plan) ([]byte, error) {
	fail := func(err error) ([]byte, error) {
		return nil, &Error{Op: "encode plan", Kind: KindUnreadable, Err: err}
	}
	body, err := encoding.Marshal(plan)
	if err != nil {
		return fail(err)
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return fail(err)
	}
	if _, err := w.Write(body); err != nil {
		return fail(err)
	}
	if err := w.Close(); err != nil {
		return fail(err)
	}
	if compressed.Len() > maxEncodedBytes || len(body) > maxPlanBytes {
		return nil, &Error{Op: "encode plan", Kind: KindTooLarge, Err: errTooLarge}
	}
	return compressed.Bytes(), nil
}
