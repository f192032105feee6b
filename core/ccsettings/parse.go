package ccsettings

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

const (
	keyVotes         = "votes"
	reasonUnknownKey = "there is no such key"
	reasonNoKeys     = "there must be keys below"
)

// ParseSection reads a section's YAML. The file names the text in errors, which
// list every fault with its line and key.
func ParseSection(name, file string, text []byte) (*Section, error) {
	if !isName(name) {
		err := fmt.Errorf("a section's name has letters, digits, dash and underscore, up to %d, unlike %q", MaxNameBytes, name)
		return nil, &Error{Op: "parse " + file, Kind: KindInvalid, Err: err}
	}
	if len(text) > MaxSectionBytes {
		err := fmt.Errorf("%s has %d bytes, more than %d", file, len(text), MaxSectionBytes)
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

// readDocument returns the one document of the text, or nil when it is empty.
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
		return nil, &Error{Op: "parse " + file, Kind: KindSyntax, Err: errors.New("there is more than one document")}
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

func (p *parser) fault(node *yaml.Node, key Key, format string, args ...any) {
	p.issues = append(p.issues, Issue{
		File: p.section.File, Line: node.Line, Key: key, Reason: fmt.Sprintf(format, args...),
	})
}

// fields calls back with each key and value of a mapping. Anything but a mapping
// with plain, distinct keys is a fault.
func (p *parser) fields(node *yaml.Node, key Key, each func(name string, at, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		p.fault(node, key, reasonNoKeys)
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		at, value := node.Content[i], node.Content[i+1]
		switch {
		case at.Kind != yaml.ScalarNode:
			p.fault(at, key, "a key must be plain text")
		case seen[at.Value]:
			p.fault(at, below(key, at.Value), "the key stands twice")
		default:
			seen[at.Value] = true
			each(at.Value, at, value)
		}
	}
}

func below(key Key, name string) Key {
	if key == "" {
		return Key(name)
	}
	return key + "." + Key(name)
}

func (p *parser) parseRoot(root *yaml.Node) {
	p.fields(root, "", func(name string, at, value *yaml.Node) {
		switch name {
		case groupServices, groupDomains, groupTeams:
			p.fields(value, Key(name), func(one string, at, value *yaml.Node) {
				p.parseNamed(joinKey(name, one), one, at, value)
			})
		case groupFleet:
			p.parseGroup(groupFleet, value)
		case keyVotes:
			p.parseVotes(at, value)
		default:
			p.fault(at, Key(name), reasonUnknownKey)
		}
	})
}

func (p *parser) parseNamed(key Key, name string, at, value *yaml.Node) {
	if !isName(name) {
		p.fault(at, key, "a name has letters, digits, dash and underscore, up to %d", MaxNameBytes)
		return
	}
	if value.Kind == yaml.MappingNode && len(value.Content) == 0 {
		// It would not exist, which nobody would expect who wrote its name.
		p.fault(at, key, reasonNoKeys)
		return
	}
	p.parseGroup(key, value)
}

func (p *parser) parseGroup(prefix Key, node *yaml.Node) {
	p.fields(node, prefix, func(name string, at, value *yaml.Node) {
		key := below(prefix, name)
		if value.Kind == yaml.MappingNode {
			p.fields(value, key, func(entry string, at, value *yaml.Node) {
				p.parseSetting(below(key, entry), at, value)
			})
			return
		}
		p.parseSetting(key, at, value)
	})
}

func (p *parser) parseSetting(key Key, at, node *yaml.Node) {
	kind, ok := key.valueType()
	if !ok {
		p.fault(at, key, reasonUnknownKey)
		return
	}
	value, err := readValue(kind, node)
	if err != nil {
		p.fault(node, key, "%v", err)
		return
	}
	p.section.Settings[key] = Setting{Value: value, Line: at.Line}
}
