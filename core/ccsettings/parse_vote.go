package ccsettings

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

func (p *parser) parseVotes(at, node *yaml.Node) {
	if p.section.Name != Chair {
		p.fault(at, keyVotes, "only the section %s has votes", Chair)
		return
	}
	p.fields(node, keyVotes, func(name string, at, value *yaml.Node) {
		key := Key(name)
		kind, ok := key.valueType()
		if !ok {
			p.fault(at, below(keyVotes, name), reasonUnknownKey)
			return
		}
		p.parseVote(key, kind, at, value)
	})
}

func (p *parser) parseVote(key Key, kind reflect.Type, at, node *yaml.Node) {
	vote := Vote{Line: at.Line}
	path := below(keyVotes, string(key))
	before := len(p.issues)
	p.fields(node, path, func(name string, at, value *yaml.Node) {
		switch name {
		case "team":
			vote.Team = value.Value
			if !isName(vote.Team) || vote.Team == Chair {
				p.fault(value, path, "team must name a team's section")
			}
		case "value":
			read, err := readValue(kind, value)
			if err != nil {
				p.fault(value, path, "%v", err)
			}
			vote.Value = read
		default:
			p.fault(at, below(path, name), reasonUnknownKey)
		}
	})
	if len(p.issues) > before {
		return
	}
	if (vote.Team == "") == (vote.Value == "") {
		p.fault(at, path, "a vote has either team or value")
		return
	}
	p.section.Votes[key] = vote
}
