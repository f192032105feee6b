// Package ccresource defines the resource amounts that tasks need and workers provide.
//
// # Usage
//
//	free := capacity.Minus(used)
//	if need.Fits(free) {
//		used = used.Plus(need)
//	}
package ccresource

// Amount is a quantity of each resource.
type Amount struct {
	CPU          int64 `json:"cpu,omitempty" cbor:"1,keyasint,omitempty"`    // Thousandths of a core.
	Memory       int64 `json:"memory,omitempty" cbor:"2,keyasint,omitempty"` // Mebibytes.
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus returns a - b, which may be negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

// Fits reports whether a does not exceed free in any resource.
func (a Amount) Fits(free Amount) bool {
	return a.CPU <= free.CPU && a.Memory <= free.Memory && a.Accelerators <= free.Accelerators
}
