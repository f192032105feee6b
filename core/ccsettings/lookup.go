package ccsettings

import (
	"encoding/json"
	"reflect"
)

// Value returns the value of a key, whether some section sets it or not. It is
// false for a key that doesn't exist. An entry that a map lacks has no value.
func (e *Effective) Value(key Key) (Value, bool) {
	path, ok := key.path()
	if !ok || !key.Known() {
		return "", false
	}
	field := reflect.ValueOf(e.group(path)).Field(schemas[path.group].fields[path.field])
	if path.entry != "" {
		field = field.MapIndex(reflect.ValueOf(path.entry))
		if !field.IsValid() {
			return "", true
		}
	}
	data, err := json.Marshal(field.Interface())
	return Value(data), err == nil
}

// group returns the struct that holds the key, with defaults for a name that
// nobody set.
func (e *Effective) group(path keyPath) any {
	switch path.group {
	case groupServices:
		return named(e.Services, path.name, DefaultService)
	case groupDomains:
		return named(e.Domains, path.name, DefaultDomain)
	case groupTeams:
		return named(e.Teams, path.name, DefaultTeam)
	default:
		return e.Fleet
	}
}

func named[T any](all map[string]T, name string, defaults func() T) T {
	if one, ok := all[name]; ok {
		return one
	}
	return defaults()
}

// DefaultValue returns the value of a key that nobody set.
func DefaultValue(key Key) Value {
	value, _ := Default().Value(key)
	return value
}
