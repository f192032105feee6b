package ccsettings

import (
	"fmt"
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
	byDefault := DefaultValue(d.Key)
	switch {
	case d.Before == "" && d.After == byDefault:
		return fmt.Sprintf("%s: %s, now set, was the default", d.Key, d.After)
	case d.After == "" && d.Before == byDefault:
		return fmt.Sprintf("%s: %s, no longer set, is the default", d.Key, d.Before)
	default:
		return fmt.Sprintf("%s: %s -> %s", d.Key, shown(d.Before, byDefault), shown(d.After, byDefault))
	}
}

func shown(value, byDefault Value) string {
	switch {
	case value != "":
		return string(value)
	case byDefault != "":
		return string(byDefault) + " (default)"
	default:
		return "none"
	}
}
