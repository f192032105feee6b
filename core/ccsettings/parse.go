package ccsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

const (
	keyVotes          = "votes"
	reasonUnknownKey  = "there is no such key"
	reasonMissingKeys = "there must be keys below"
)

// ParseSection parses and validates the YAML text of a section. The file is the name
// of the text in errors. The error for invalid keys lists each with its line.
func ParseSection(name, file string, text []byte) (*Section, error) {
	if !isValidName(name) {
		err := fmt.Errorf("a section name must have 1 to %d letters, digits, dashes or underscores, got %q", MaxNameBytes, name)
		return nil, &Error{Op: "parse " + file, Kind: KindInvalid, Err: err}
	}
	if len(text) > MaxSectionBytes {
		err := fmt.Errorf("%s has %d bytes, the limit is %d", file, len(text), MaxSectionBytes)
		return nil, &Error{Op: "parse " + file, Kind: KindInvalid, Err: err}
	}
	root, err := readDocument(file, text)
	if err != nil {
		return nil, err
	}
	p := &parser{section: &Section{Name: name, File: file, Settings: map[Key]Setting{}, Votes: map[Key]Vote{}}}
	if root != nil {
		p.parseRoot(root)
	}
	if len(p.issues) == 0 {
		p.issues = p.section.checkLimits()
	}
	if len(p.issues) > 0 {
		return nil, newIssuesError("parse "+file, p.issues)
	}
	return p.section, nil
}

// readDocument returns the root node of the only YAML document in the text, or nil
// if the document is empty.
func readDocument(file string, text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, &Error{Op: "parse " + file, Kind: KindSyntax, Err: err}
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, &Error{Op: "parse " + file, Kind: KindSyntax, Err: errors.New("there is more than one YAML document")}
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return nil, nil
	}
	return root, nil
}

type parser struct {
	section *Section
	issues  Issues
}

func (p *parser) addIssue(node *yaml.Node, key Key, format string, args ...any) {
	p.issues = append(p.issues, Issue{
		File: p.section.File, Line: node.Line, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

// eachField calls visit for each key and value of a mapping. It reports a node that
// is not a mapping, keys that are not scalars, and duplicate keys.
func (p *parser) eachField(node *yaml.Node, key Key, visit func(name string, keyNode, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		p.addIssue(node, key, reasonMissingKeys)
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		keyNode, value := node.Content[i], node.Content[i+1]
		switch {
		case keyNode.Kind != yaml.ScalarNode:
			p.addIssue(keyNode, key, "a key must be a scalar")
		case seen[keyNode.Value]:
			p.addIssue(keyNode, childKey(key, keyNode.Value), "the key stands twice")
		default:
			seen[keyNode.Value] = true
			visit(keyNode.Value, keyNode, value)
		}
	}
}

// childKey returns the key of the named child of key, or a top-level key if key is
// empty.
func childKey(key Key, name string) Key {
	if key == "" {
		return Key(name)
	}
	return key + "." + Key(name)
}

func (p *parser) parseRoot(root *yaml.Node) {
	p.eachField(root, "", func(name string, keyNode, value *yaml.Node) {
		switch name {
		case groupServices, groupDomains, groupTeams:
			p.eachField(value, Key(name), func(entryName string, keyNode, value *yaml.Node) {
				p.parseNamedGroup(joinKey(name, entryName), entryName, keyNode, value)
			})
		case groupFleet:
			p.parseGroup(groupFleet, value)
		case keyVotes:
			p.parseVotes(keyNode, value)
		default:
			p.addIssue(keyNode, Key(name), reasonUnknownKey)
		}
	})
}

func (p *parser) parseNamedGroup(key Key, name string, keyNode, value *yaml.Node) {
	if !isValidName(name) {
		p.addIssue(keyNode, key, "a name has letters, digits, dash and underscore, up to %d", MaxNameBytes)
		return
	}
	if value.Kind == yaml.MappingNode && len(value.Content) == 0 {
		// A group without any setting would not exist in the merged settings, although
		// the section names it.
		p.addIssue(keyNode, key, reasonMissingKeys)
		return
	}
	p.parseGroup(key, value)
}

func (p *parser) parseGroup(prefix Key, node *yaml.Node) {
	p.eachField(node, prefix, func(name string, keyNode, value *yaml.Node) {
		key := childKey(prefix, name)
		if value.Kind == yaml.MappingNode {
			p.eachField(value, key, func(entry string, keyNode, value *yaml.Node) {
				p.parseSetting(childKey(key, entry), keyNode, value)
			})
			return
		}
		p.parseSetting(key, keyNode, value)
	})
}

func (p *parser) parseSetting(key Key, keyNode, node *yaml.Node) {
	valueType, ok := key.valueType()
	if !ok {
		p.addIssue(keyNode, key, reasonUnknownKey)
		return
	}
	value, err := readValue(valueType, node)
	if err != nil {
		p.addIssue(node, key, "%v", err)
		return
	}
	p.section.Settings[key] = Setting{Value: value, Line: keyNode.Line}
}
