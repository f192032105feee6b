package ccrelay

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"camphorcroft/core/ccroute"
	"camphorcroft/core/ccwire"
)

var errSum = errors.New("bytes don't match their sum")

// Assembly puts the pieces of one plan together. Its zero value is empty.
type Assembly struct {
	revision uint64
	sum      uint64
	size     int
	data     []byte
	plan     *ccroute.Plan
}

// Add adds a piece and reports whether it brought the assembly further. The first piece of a
// later plan, or of another encoding of the same one, replaces what was there.
func (a *Assembly) Add(piece *ccwire.PlanPiece) (bool, error) {
	if piece.Size <= 0 || piece.Size > maxEncodedBytes {
		return false, &Error{Op: "add piece", Kind: KindTooLarge, Err: errTooLarge}
	}
	same := piece.Revision == a.revision && piece.Sum == a.sum && piece.Size == a.size
	if !same && piece.Offset == 0 && piece.Revision >= a.revision {
		*a = Assembly{revision: piece.Revision, sum: piece.Sum, size: piece.Size}
		same = true
	}
	if !same || piece.Offset != len(a.data) || len(piece.Data) == 0 || len(a.data)+len(piece.Data) > a.size {
		return false, nil
	}
	a.data = append(a.data, piece.Data...)
	if len(a.data) < a.size {
		return true, nil
	}
	plan, err := decode(a.data, a.sum)
	if err != nil || plan.Revision != a.revision {
		*a = Assembly{}
		return false, err
	}
	a.plan, a.data = plan, nil
	return true, nil
}

// Plan returns the plan once it is complete.
func (a *Assembly) Plan() *ccroute.Plan { return a.plan }

// Revision returns the revision of the plan that is put together. Zero is none.
func (a *Assembly) Revision() uint64 { return a.revision }

// Position returns what to ask for next.
func (a *Assembly) Position() ccwire.PlanPosition {
	return ccwire.PlanPosition{Revision: a.revision, Sum: a.sum, Offset: len(a.data)}
}

func decode(data []byte, sum uint64) (*ccroute.Plan, error) {
	fail := func(kind Kind, err error) (*ccroute.Plan, error) {
		return nil, &Error{Op: "decode plan", Kind: kind, Err: err}
	}
	if xxhash.Sum64(data) != sum {
		return fail(KindUnreadable, errSum)
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPlanBytes+1))
	switch {
	case err != nil:
		return fail(KindUnreadable, err)
	case len(body) > maxPlanBytes:
		return fail(KindTooLarge, errTooLarge)
	}
	plan := &ccroute.Plan{}
	if err := cbor.Unmarshal(body, plan); err != nil {
		return fail(KindUnreadable, err)
	}
	return plan, nil
}
