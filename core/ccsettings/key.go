package ccsettings

import (
	"reflect"
	"strings"
)

// Key is the path of one setting, such as services.notices.slots.
type Key string

// The groups of settings.
const (
	groupServices = "services"
	groupDomains  = "domains"
	groupTeams    = "teams"
	groupFleet    = "fleet"
)

// MaxNameBytes bounds the name of a service, failure domain, team or section.
const MaxNameBytes = 64

// keyPath is a key taken apart.
type keyPath struct {
	group string
	name  string // Empty in the group fleet.
	field string // As written in JSON and YAML.
	entry string // The entry of a field that is a map, otherwise empty.
}

func (k Key) path() (keyPath, bool) {
	parts := strings.Split(string(k), ".")
	path := keyPath{group: parts[0]}
	parts = parts[1:]
	if path.group != groupFleet && len(parts) > 0 {
		path.name, parts = parts[0], parts[1:]
	}
	if len(parts) < 1 || len(parts) > 2 {
		return keyPath{}, false
	}
	path.field = parts[0]
	if len(parts) == 2 {
		path.entry = parts[1]
	}
	return path, true
}

func joinKey(parts ...string) Key { return Key(strings.Join(parts, ".")) }

// valueType returns the type of a key's value, or false when no such key exists.
func (k Key) valueType() (reflect.Type, bool) {
	path, ok := k.path()
	if !ok {
		return nil, false
	}
	schema, ok := schemas[path.group]
	if !ok || (path.group != groupFleet && !isName(path.name)) {
		return nil, false
	}
	index, ok := schema.fields[path.field]
	if !ok {
		return nil, false
	}
	field := schema.of.Field(index).Type
	if field.Kind() != reflect.Map {
		return field, path.entry == ""
	}
	return field.Elem(), isName(path.entry)
}

// Known tells whether the key exists in the schema.
func (k Key) Known() bool {
	_, ok := k.valueType()
	return ok
}

// isName tells whether the text may name a service, failure domain, team or
// section: letters, digits, dash and underscore.
func isName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
