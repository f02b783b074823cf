package inifile

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// member is a field of a structure with the name that files use for it.
type member struct {
	name  string
	value reflect.Value
}

func members(structure reflect.Value) []member {
	var list []member
	for i := range structure.NumField() {
		name := structure.Type().Field(i).Tag.Get("ini")
		if name != "" && name != "-" {
			list = append(list, member{name, structure.Field(i)})
		}
	}
	return list
}

func (m member) isSection() bool {
	return m.value.Kind() == reflect.Struct
}

func (m member) isSectionList() bool {
	return m.value.Kind() == reflect.Slice && m.value.Type().Elem().Kind() == reflect.Struct
}

func decode(path string, file *ini.File, dst any) error {
	all := members(reflect.ValueOf(dst).Elem())
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		name := normalize(section.Name())
		if name == ini.DefaultSection {
			if err := decodeTop(path, section, all); err != nil {
				return err
			}
			continue
		}
		if seen[name] {
			return &Error{File: path, Section: name, Detail: "the section is given twice"}
		}
		seen[name] = true
		if err := decodeNamed(path, name, section, all); err != nil {
			return err
		}
	}
	return nil
}

// normalize makes [peer  e2] and [ peer e2 ] the same section.
func normalize(name string) string {
	return strings.Join(strings.Fields(name), " ")
}

func decodeTop(path string, section *ini.Section, all []member) error {
	var keys []member
	for _, m := range all {
		if !m.isSection() && !m.isSectionList() {
			keys = append(keys, m)
		}
	}
	return decodeKeys(path, "", section, keys)
}

func decodeNamed(path, name string, section *ini.Section, all []member) error {
	for _, m := range all {
		if m.isSection() && m.name == name {
			return decodeKeys(path, name, section, members(m.value))
		}
		if instance, ok := strings.CutPrefix(name, m.name+" "); ok && m.isSectionList() {
			return decodeItem(path, name, instance, section, m.value)
		}
	}
	return &Error{File: path, Section: name, Detail: "unknown section; known are " + sectionNames(all)}
}

func decodeItem(path, name, instance string, section *ini.Section, list reflect.Value) error {
	item := reflect.New(list.Type().Elem()).Elem()
	item.Field(0).SetString(instance)
	if err := decodeKeys(path, name, section, members(item)); err != nil {
		return err
	}
	list.Set(reflect.Append(list, item))
	return nil
}

func decodeKeys(path, name string, section *ini.Section, known []member) error {
	for _, key := range section.Keys() {
		if err := decodeKey(key, known); err != nil {
			return &Error{File: path, Section: name, Key: key.Name(), Detail: err.Error()}
		}
	}
	return nil
}

func decodeKey(key *ini.Key, known []member) error {
	at := slices.IndexFunc(known, func(m member) bool { return m.name == key.Name() })
	if at < 0 {
		return fmt.Errorf("unknown key; known are %s", keyNames(known))
	}
	if len(key.ValueWithShadows()) > 1 {
		return fmt.Errorf("the key is given twice")
	}
	text, err := unquote(key.Value())
	if err != nil {
		return err
	}
	return setField(known[at].value, text)
}

func keyNames(list []member) string {
	var names []string
	for _, m := range list {
		names = append(names, m.name)
	}
	if names == nil {
		return "none here"
	}
	return strings.Join(names, ", ")
}

func sectionNames(list []member) string {
	var names []string
	for _, m := range list {
		switch {
		case m.isSection():
			names = append(names, "["+m.name+"]")
		case m.isSectionList():
			names = append(names, "["+m.name+" NAME]")
		}
	}
	return strings.Join(names, ", ")
}
