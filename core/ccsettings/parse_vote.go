package ccsettings

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

func (p *parser) parseVotes(keyNode, node *yaml.Node) {
	if p.section.Name != Chair {
		p.addIssue(keyNode, keyVotes, "only the section %s has votes", Chair)
		return
	}
	p.eachField(node, keyVotes, func(name string, keyNode, value *yaml.Node) {
		key := Key(name)
		valueType, ok := key.valueType()
		if !ok {
			p.addIssue(keyNode, childKey(keyVotes, name), reasonUnknownKey)
			return
		}
		p.parseVote(key, valueType, keyNode, value)
	})
}

func (p *parser) parseVote(key Key, valueType reflect.Type, keyNode, node *yaml.Node) {
	vote := Vote{Line: keyNode.Line}
	path := childKey(keyVotes, string(key))
	before := len(p.issues)
	p.eachField(node, path, func(name string, keyNode, value *yaml.Node) {
		switch name {
		case "team":
			vote.Team = value.Value
			if !isValidName(vote.Team) || vote.Team == Chair {
				p.addIssue(value, path, "team must name a team's section")
			}
		case "value":
			parsed, err := readValue(valueType, value)
			if err != nil {
				p.addIssue(value, path, "%v", err)
			}
			vote.Value = parsed
		default:
			p.addIssue(keyNode, childKey(path, name), reasonUnknownKey)
		}
	})
	if len(p.issues) > before {
		return
	}
	if (vote.Team == "") == (vote.Value == "") {
		p.addIssue(keyNode, path, "a vote has either team or value")
		return
	}
	p.section.Votes[key] = vote
}
