package ccwire

// PlanPosition is a place in the encoding of a plan: what its receiver asks for next. Without a
// Revision it asks for the first piece of whatever plan there is.
type PlanPosition struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	Sum      uint64 `cbor:"2,keyasint,omitempty"` // Identifies the encoding.
	Offset   int    `cbor:"3,keyasint,omitempty"` // In bytes.
}

// PlanPiece is a part of the encoding of a plan, from its position on.
type PlanPiece struct {
	PlanPosition
	Size int    `cbor:"4,keyasint"` // Of the whole encoding, in bytes.
	Data []byte `cbor:"5,keyasint"`
}
