package ccsettings

import (
	"bytes"
	"strings"

	"go.yaml.in/yaml/v3"
)

// SetText returns a section's text with one key set, keeping the rest and its
// comments. The value is YAML, such as true.
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
		node = child(node, part)
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

// child returns the value below a key, which is made if it isn't there.
func child(node *yaml.Node, name string) *yaml.Node {
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
