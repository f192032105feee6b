package ccsettings

import (
	"encoding/json"
	"fmt"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// readValue reads a scalar as a type of the schema.
func readValue(kind reflect.Type, node *yaml.Node) (Value, error) {
	if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
		return "", fmt.Errorf("there must be %s", nameOf(kind))
	}
	if kind.Kind() == reflect.Int && node.ShortTag() != "!!int" {
		return "", fmt.Errorf("%q is not %s", node.Value, nameOf(kind)) // Decode would cut a fraction off.
	}
	into := reflect.New(kind)
	if err := node.Decode(into.Interface()); err != nil {
		return "", fmt.Errorf("%q is not %s", node.Value, nameOf(kind))
	}
	data, err := json.Marshal(into.Interface())
	if err != nil {
		return "", fmt.Errorf("%q is not %s", node.Value, nameOf(kind))
	}
	return Value(data), nil
}

func nameOf(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[Duration]():
		return "a duration with a unit, such as 250ms"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.Int:
		return "a whole number"
	case kind.Kind() == reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}
