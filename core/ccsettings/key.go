package ccsettings

import (
	"reflect"
	"strings"
)

// Key is the dotted path of one setting, such as services.notices.slots.
type Key string

// The groups of settings, which are the first part of a key.
const (
	groupServices = "services"
	groupDomains  = "domains"
	groupTeams    = "teams"
	groupFleet    = "fleet"
)

// MaxNameBytes is the maximum length of the name of a service, failure domain, team
// or section.
const MaxNameBytes = 64

// keyPath holds the parts of a key.
type keyPath struct {
	group string
	name  string // Empty for the fleet group.
	field string // The name in JSON and YAML.
	entry string // The map key if the field is a map, otherwise empty.
}

// path splits the key into its parts. It returns false if their number is wrong.
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

// valueType returns the type of the key's value, or false if the schema has no such
// key.
func (k Key) valueType() (reflect.Type, bool) {
	path, ok := k.path()
	if !ok {
		return nil, false
	}
	schema, ok := schemas[path.group]
	if !ok || (path.group != groupFleet && !isValidName(path.name)) {
		return nil, false
	}
	index, ok := schema.fields[path.field]
	if !ok {
		return nil, false
	}
	field := schema.structType.Field(index).Type
	if field.Kind() != reflect.Map {
		return field, path.entry == ""
	}
	return field.Elem(), isValidName(path.entry)
}

// Known reports whether the key exists in the schema.
func (k Key) Known() bool {
	_, ok := k.valueType()
	return ok
}

// isValidName reports whether the text is a valid name of a service, failure domain,
// team or section: 1 to MaxNameBytes letters, digits, dashes and underscores.
func isValidName(text string) bool {
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
