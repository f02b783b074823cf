package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// decode fills dst, a pointer to a structure, from file. A field with a
// structure is a section, a slice of structures takes the sections whose name
// begins with the field's, and other fields are keys outside any section.
func decode(path string, file *ini.File, dst any) error {
	value := reflect.ValueOf(dst).Elem()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := field.Tag.Get("ini")
		if err := decodeMember(path, file, name, value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeMember(path string, file *ini.File, name string, field reflect.Value) error {
	switch {
	case field.Kind() == reflect.Struct:
		return decodeSection(path, file.Section(name), field)
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		return decodeSections(path, file, name, field)
	default:
		return decodeKey(path, file.Section(""), name, field)
	}
}

func decodeSections(path string, file *ini.File, prefix string, list reflect.Value) error {
	for _, section := range file.Sections() {
		instance, ok := strings.CutPrefix(section.Name(), prefix+" ")
		if !ok {
			continue
		}
		item := reflect.New(list.Type().Elem()).Elem()
		item.Field(0).SetString(strings.TrimSpace(instance))
		if err := decodeSection(path, section, item); err != nil {
			return err
		}
		list.Set(reflect.Append(list, item))
	}
	return nil
}

func decodeSection(path string, section *ini.Section, dst reflect.Value) error {
	for i := range dst.NumField() {
		name := dst.Type().Field(i).Tag.Get("ini")
		if name == "-" {
			continue
		}
		if err := decodeKey(path, section, name, dst.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeKey(path string, section *ini.Section, name string, field reflect.Value) error {
	if !section.HasKey(name) {
		return nil
	}
	key := section.Key(name)
	if err := setField(key, field); err != nil {
		return &Error{path, section.Name(), name, err.Error()}
	}
	return nil
}

func setField(key *ini.Key, field reflect.Value) error {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		d, err := key.Duration()
		field.SetInt(int64(d))
		return err
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(key.String())
	case reflect.Bool:
		b, err := key.Bool()
		field.SetBool(b)
		return err
	case reflect.Int, reflect.Int64:
		n, err := key.Int64()
		field.SetInt(n)
		return err
	case reflect.Uint64:
		n, err := key.Uint64()
		field.SetUint(n)
		return err
	case reflect.Slice:
		field.Set(reflect.ValueOf(key.Strings(",")))
	default:
		return fmt.Errorf("unsupported type %s", field.Type())
	}
	return nil
}
