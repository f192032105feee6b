package ccsettings

import (
	"encoding/json"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is written as "1.5s" in YAML and JSON.
type Duration time.Duration

// String returns the duration as Go writes it.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a string such as \"250ms\": %w", err)
	}
	return d.parse(text)
}

// MarshalYAML writes the duration as a string.
func (d Duration) MarshalYAML() (any, error) {
	return d.String(), nil
}

// UnmarshalYAML reads a string such as 250ms.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	return d.parse(node.Value)
}

func (d *Duration) parse(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration is a number with a unit, such as 250ms: %w", err)
	}
	*d = Duration(parsed)
	return nil
}
