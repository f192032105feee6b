package ccsettings

import (
	"encoding/json"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is encoded as a string such as "1.5s" in YAML and JSON.
type Duration time.Duration

// String formats the duration like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration must be a string such as \"250ms\": %w", err)
	}
	return d.parse(text)
}

// MarshalYAML encodes the duration as a string.
func (d Duration) MarshalYAML() (any, error) {
	return d.String(), nil
}

// UnmarshalYAML decodes a scalar such as 250ms.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	return d.parse(node.Value)
}

func (d *Duration) parse(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("a duration must be a number with a unit, such as 250ms: %w", err)
	}
	*d = Duration(parsed)
	return nil
}
