package ccsettings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
)

// schema is one group's type with its fields by their written name.
type schema struct {
	of     reflect.Type
	fields map[string]int
}

// schemas are the groups of settings. The types are the only place that says
// which keys exist.
var schemas = map[string]schema{
	groupServices: newSchema(reflect.TypeFor[Service]()),
	groupDomains:  newSchema(reflect.TypeFor[Domain]()),
	groupTeams:    newSchema(reflect.TypeFor[Team]()),
	groupFleet:    newSchema(reflect.TypeFor[Fleet]()),
}

func newSchema(of reflect.Type) schema {
	s := schema{of: of, fields: map[string]int{}}
	for i := range of.NumField() {
		s.fields[writtenName(of.Field(i))] = i
	}
	return s
}

func writtenName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// build makes the settings out of single values. Keys and types must have been
// checked.
func build(version uint64, values Values) (*Effective, error) {
	e := &Effective{
		Version:  version,
		Services: map[string]Service{},
		Domains:  map[string]Domain{},
		Teams:    map[string]Team{},
		Fleet:    DefaultFleet(),
	}
	for _, key := range values.Keys() {
		if err := e.set(key, values[key]); err != nil {
			return nil, &Error{Op: "set " + string(key), Kind: KindInvalid, Err: err}
		}
	}
	return e, nil
}

func (e *Effective) set(key Key, value Value) error {
	path, ok := key.path()
	if !ok || !key.Known() {
		return errors.New(reasonUnknownKey)
	}
	switch path.group {
	case groupServices:
		return setNamed(e.Services, path, value, DefaultService)
	case groupDomains:
		return setNamed(e.Domains, path, value, DefaultDomain)
	case groupTeams:
		return setNamed(e.Teams, path, value, DefaultTeam)
	default:
		return setField(&e.Fleet, path, value)
	}
}

func setNamed[T any](all map[string]T, path keyPath, value Value, defaults func() T) error {
	one, ok := all[path.name]
	if !ok {
		one = defaults()
	}
	if err := setField(&one, path, value); err != nil {
		return err
	}
	all[path.name] = one
	return nil
}

func setField[T any](into *T, path keyPath, value Value) error {
	field := reflect.ValueOf(into).Elem().Field(schemas[path.group].fields[path.field])
	if path.entry == "" {
		return json.Unmarshal([]byte(value), field.Addr().Interface())
	}
	entry := reflect.New(field.Type().Elem())
	if err := json.Unmarshal([]byte(value), entry.Interface()); err != nil {
		return err
	}
	if field.IsNil() {
		field.Set(reflect.MakeMap(field.Type()))
	}
	field.SetMapIndex(reflect.ValueOf(path.entry), entry.Elem())
	return nil
}
