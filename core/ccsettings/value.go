package ccsettings

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Value is the value of one setting as compact JSON, so that equal values are equal
// strings.
type Value string

// MarshalJSON returns the value unchanged, since it is JSON.
func (v Value) MarshalJSON() ([]byte, error) { return []byte(v), nil }

// UnmarshalJSON accepts any JSON value and compacts it.
func (v *Value) UnmarshalJSON(data []byte) error {
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return err
	}
	*v = Value(compact.String())
	return nil
}

// Values maps the keys of settings to their values.
type Values map[Key]Value

// Keys returns the sorted keys.
func (v Values) Keys() []Key { return slices.Sorted(maps.Keys(v)) }
