package ccsettings

import (
	"bytes"
	"strings"

	"go.yaml.in/yaml/v3"
)

// SetText sets one key in the YAML text of a section and returns the new text. All
// other keys and the comments stay. The value is a YAML scalar, such as true.
func SetText(text string, key Key, value string) (string, error) {
	if !key.Known() {
		return "", newIssuesError("edit", Issues{{Key: key, Reason: reasonUnknownKey}})
	}
	root, err := readDocument("section", []byte(text))
	if err != nil {
		return "", err
	}
	if root == nil {
		root = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	}
	node := root
	for _, part := range strings.Split(string(key), ".") {
		node = ensureChild(node, part)
	}
	node.Kind, node.Tag, node.Value, node.Content = yaml.ScalarNode, "", value, nil
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(root); err != nil {
		return "", &Error{Op: "edit", Kind: KindSyntax, Err: err}
	}
	return out.String(), nil
}

// ensureChild returns the value node of the named key in a mapping. It adds the key
// with a null value if the key is missing, and turns any other node into a mapping
// first.
func ensureChild(node *yaml.Node, name string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		node.Kind, node.Tag, node.Value = yaml.MappingNode, "!!map", ""
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	value := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!null"}
	node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: name}, value)
	return value
}
