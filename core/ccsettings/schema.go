package ccsettings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
)

// schema holds the struct type of a group and the field indexes by JSON name.
type schema struct {
	structType reflect.Type
	fields     map[string]int
}

// schemas maps each group to its schema. The struct types alone define which keys
// exist.
var schemas = map[string]schema{
	groupServices: newSchema(reflect.TypeFor[Service]()),
	groupDomains:  newSchema(reflect.TypeFor[Domain]()),
	groupTeams:    newSchema(reflect.TypeFor[Team]()),
	groupFleet:    newSchema(reflect.TypeFor[Fleet]()),
}

func newSchema(structType reflect.Type) schema {
	s := schema{structType: structType, fields: map[string]int{}}
	for i := range structType.NumField() {
		s.fields[jsonName(structType.Field(i))] = i
	}
	return s
}

// jsonName returns the name of a field in JSON and YAML.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// buildEffective builds the settings from single values. Keys and types must have
// been checked.
func buildEffective(version uint64, values Values) (*Effective, error) {
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
		return setGroupField(e.Services, path, value, DefaultService)
	case groupDomains:
		return setGroupField(e.Domains, path, value, DefaultDomain)
	case groupTeams:
		return setGroupField(e.Teams, path, value, DefaultTeam)
	default:
		return setField(&e.Fleet, path, value)
	}
}

// setGroupField sets a field of a named group, which starts with the defaults.
func setGroupField[T any](groups map[string]T, path keyPath, value Value, defaults func() T) error {
	group, ok := groups[path.name]
	if !ok {
		group = defaults()
	}
	if err := setField(&group, path, value); err != nil {
		return err
	}
	groups[path.name] = group
	return nil
}

func setField[T any](group *T, path keyPath, value Value) error {
	field := reflect.ValueOf(group).Elem().Field(schemas[path.group].fields[path.field])
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
