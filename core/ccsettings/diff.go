package ccsettings

import (
	"maps"
	"slices"
)

// MaxDifferences bounds the differences that a change lists.
const MaxDifferences = 200

// Difference is one key whose value changed. An empty value is the default.
type Difference struct {
	Key    Key   `json:"key"`
	Before Value `json:"before,omitempty"`
	After  Value `json:"after,omitempty"`
}

// Diff returns the keys whose values differ, in order.
func Diff(before, after Values) []Difference {
	keys := maps.Clone(before)
	if keys == nil {
		keys = Values{}
	}
	maps.Copy(keys, after)
	differences := []Difference{}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if before[key] != after[key] {
			differences = append(differences, Difference{Key: key, Before: before[key], After: after[key]})
		}
	}
	return differences
}

// String returns the key with its value before and after.
func (d Difference) String() string {
	return string(d.Key) + ": " + shown(d.Key, d.Before) + " -> " + shown(d.Key, d.After)
}

func shown(key Key, value Value) string {
	if value != "" {
		return string(value)
	}
	if value = DefaultValue(key); value != "" {
		return string(value) + " (default)"
	}
	return "none"
}
