package ccsettings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Value is one setting's value as compact JSON, so that equal values are equal
// strings.
type Value string

// MarshalJSON writes the value as it is.
func (v Value) MarshalJSON() ([]byte, error) { return []byte(v), nil }

// UnmarshalJSON takes any JSON value.
func (v *Value) UnmarshalJSON(data []byte) error {
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return err
	}
	*v = Value(compact.String())
	return nil
}

// Values are settings by key.
type Values map[Key]Value

// Keys returns the keys in order.
func (v Values) Keys() []Key { return slices.Sorted(maps.Keys(v)) }
