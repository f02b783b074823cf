package inifile

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// namedField is a struct field with the name that INI files use for it.
type namedField struct {
	name  string
	value reflect.Value
}

// namedFields returns the fields of a struct that have a name in INI files.
func namedFields(structValue reflect.Value) []namedField {
	var list []namedField
	for i := range structValue.NumField() {
		name := structValue.Type().Field(i).Tag.Get("ini")
		if name != "" && name != "-" {
			list = append(list, namedField{name, structValue.Field(i)})
		}
	}
	return list
}

func (f namedField) isSection() bool {
	return f.value.Kind() == reflect.Struct
}

func (f namedField) isSectionList() bool {
	return f.value.Kind() == reflect.Slice && f.value.Type().Elem().Kind() == reflect.Struct
}

func decode(path string, file *ini.File, dst any) error {
	fields := namedFields(reflect.ValueOf(dst).Elem())
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		name := normalizeSectionName(section.Name())
		if name == ini.DefaultSection {
			if err := decodeTopLevel(path, section, fields); err != nil {
				return err
			}
			continue
		}
		if seen[name] {
			return &Error{File: path, Section: name, Detail: "duplicate section"}
		}
		seen[name] = true
		if err := decodeSection(path, name, section, fields); err != nil {
			return err
		}
	}
	return nil
}

// normalizeSectionName trims a section name and collapses its white space, so
// that [peer  e2] and [ peer e2 ] are the same section.
func normalizeSectionName(name string) string {
	return strings.Join(strings.Fields(name), " ")
}

// decodeTopLevel decodes the keys outside any section.
func decodeTopLevel(path string, section *ini.Section, fields []namedField) error {
	var keyFields []namedField
	for _, f := range fields {
		if !f.isSection() && !f.isSectionList() {
			keyFields = append(keyFields, f)
		}
	}
	return decodeKeys(path, "", section, keyFields)
}

// decodeSection decodes a section into the struct field of the same name, or
// appends an item to the slice field that its first word names.
func decodeSection(path, name string, section *ini.Section, fields []namedField) error {
	for _, f := range fields {
		if f.isSection() && f.name == name {
			return decodeKeys(path, name, section, namedFields(f.value))
		}
		if itemName, ok := strings.CutPrefix(name, f.name+" "); ok && f.isSectionList() {
			return decodeListItem(path, name, itemName, section, f.value)
		}
	}
	return &Error{File: path, Section: name, Detail: "unknown section; known sections: " + sectionNames(fields)}
}

func decodeListItem(path, name, itemName string, section *ini.Section, list reflect.Value) error {
	item := reflect.New(list.Type().Elem()).Elem()
	item.Field(0).SetString(itemName)
	if err := decodeKeys(path, name, section, namedFields(item)); err != nil {
		return err
	}
	list.Set(reflect.Append(list, item))
	return nil
}

func decodeKeys(path, name string, section *ini.Section, known []namedField) error {
	for _, key := range section.Keys() {
		if err := decodeKey(key, known); err != nil {
			return &Error{File: path, Section: name, Key: key.Name(), Detail: err.Error()}
		}
	}
	return nil
}

func decodeKey(key *ini.Key, known []namedField) error {
	index := slices.IndexFunc(known, func(f namedField) bool { return f.name == key.Name() })
	if index < 0 {
		return fmt.Errorf("unknown key; known keys: %s", keyNames(known))
	}
	if len(key.ValueWithShadows()) > 1 {
		return fmt.Errorf("duplicate key")
	}
	text, err := unquote(key.Value())
	if err != nil {
		return err
	}
	return setField(known[index].value, text)
}

func keyNames(list []namedField) string {
	var names []string
	for _, f := range list {
		names = append(names, f.name)
	}
	if names == nil {
		return "none"
	}
	return strings.Join(names, ", ")
}

func sectionNames(list []namedField) string {
	var names []string
	for _, f := range list {
		switch {
		case f.isSection():
			names = append(names, "["+f.name+"]")
		case f.isSectionList():
			names = append(names, "["+f.name+" NAME]")
		}
	}
	return strings.Join(names, ", ")
}
