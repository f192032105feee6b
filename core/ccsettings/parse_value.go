package ccsettings

import (
	"encoding/json"
	"fmt"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// readValue decodes a scalar node as the given type of the schema.
func readValue(valueType reflect.Type, node *yaml.Node) (Value, error) {
	if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
		return "", fmt.Errorf("there must be %s", describeType(valueType))
	}
	if valueType.Kind() == reflect.Int && node.ShortTag() != "!!int" {
		return "", fmt.Errorf("%q is not %s", node.Value, describeType(valueType)) // Decode would truncate a fraction.
	}
	decoded := reflect.New(valueType)
	if err := node.Decode(decoded.Interface()); err != nil {
		return "", fmt.Errorf("%q is not %s", node.Value, describeType(valueType))
	}
	data, err := json.Marshal(decoded.Interface())
	if err != nil {
		return "", fmt.Errorf("%q is not %s", node.Value, describeType(valueType))
	}
	return Value(data), nil
}

// describeType returns the expected form of a value for error messages.
func describeType(valueType reflect.Type) string {
	switch {
	case valueType == reflect.TypeFor[Duration]():
		return "a duration with a unit, such as 250ms"
	case valueType.Kind() == reflect.Bool:
		return "true or false"
	case valueType.Kind() == reflect.Int:
		return "a whole number"
	case valueType.Kind() == reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}
