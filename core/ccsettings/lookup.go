package ccsettings

import (
	"encoding/json"
	"reflect"
)

// Value returns the value of a key, which is the default if no section sets it. It
// returns false for a key that doesn't exist, and an empty value for a missing map
// entry.
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

// group returns the struct that holds the key's field, with the defaults if no
// section sets a key of that name.
func (e *Effective) group(path keyPath) any {
	switch path.group {
	case groupServices:
		return groupOrDefault(e.Services, path.name, DefaultService)
	case groupDomains:
		return groupOrDefault(e.Domains, path.name, DefaultDomain)
	case groupTeams:
		return groupOrDefault(e.Teams, path.name, DefaultTeam)
	default:
		return e.Fleet
	}
}

func groupOrDefault[T any](groups map[string]T, name string, defaults func() T) T {
	if group, ok := groups[name]; ok {
		return group
	}
	return defaults()
}

// DefaultValue returns the value of a key that no section sets.
func DefaultValue(key Key) Value {
	value, _ := Default().Value(key)
	return value
}
