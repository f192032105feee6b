package ccsettings

import (
	"fmt"
	"maps"
	"slices"
)

// MaxDifferences is the maximum number of differences that a Change lists.
const MaxDifferences = 200

// Difference is a key whose value changed. An empty Before or After means that no
// value was set and the default applied.
type Difference struct {
	Key    Key   `json:"key"`
	Before Value `json:"before,omitempty"`
	After  Value `json:"after,omitempty"`
}

// Diff returns the keys whose values differ, sorted by key.
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

// String returns the key with its values before and after the change.
func (d Difference) String() string {
	defaultValue := DefaultValue(d.Key)
	switch {
	case d.Before == "" && d.After == defaultValue:
		return fmt.Sprintf("%s: %s, now set, was the default", d.Key, d.After)
	case d.After == "" && d.Before == defaultValue:
		return fmt.Sprintf("%s: %s, no longer set, is the default", d.Key, d.Before)
	default:
		return fmt.Sprintf("%s: %s -> %s", d.Key, displayValue(d.Before, defaultValue), displayValue(d.After, defaultValue))
	}
}

func displayValue(value, defaultValue Value) string {
	switch {
	case value != "":
		return string(value)
	case defaultValue != "":
		return string(defaultValue) + " (default)"
	default:
		return "none"
	}
}
