package inifile

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// checkFunc returns an error if a value violates a constraint of a check tag.
// argument is the text after the constraint's equals sign.
type checkFunc func(value reflect.Value, argument string) error

// checks maps the constraints of check tags to their functions. A tag lists
// constraints separated by commas; only oneof takes an argument, as in
// "oneof=a|b".
var checks = map[string]checkFunc{
	"required": checkRequired,
	"hostport": checkAddress,
	"positive": checkPositive,
	"natural":  checkNatural,
	"percent":  checkPercent,
	"fraction": checkFraction,
	"oneof":    checkOneOf,
}

// Check applies the constraints in the check tags of src, a pointer to a struct
// filled by Load, and returns the first violation. Every error is an *Error. It
// panics if a tag names an unknown constraint.
func Check(path string, src any) error {
	structValue := reflect.ValueOf(src).Elem()
	for i := range structValue.NumField() {
		field := structValue.Type().Field(i)
		name := field.Tag.Get("ini")
		f := namedField{name, structValue.Field(i)}
		if err := checkTopLevel(path, f, field.Tag.Get("check")); err != nil {
			return err
		}
	}
	return nil
}

func checkTopLevel(path string, f namedField, tag string) error {
	switch {
	case f.name == "" || f.name == "-":
		return nil
	case f.isSection():
		return checkSection(path, f.name, f.value)
	case f.isSectionList():
		return checkSectionList(path, f)
	default:
		return checkField(path, "", f, tag)
	}
}

func checkSectionList(path string, f namedField) error {
	for i := range f.value.Len() {
		item := f.value.Index(i)
		section := f.name + " " + item.Field(0).String()
		if err := checkSection(path, section, item); err != nil {
			return err
		}
	}
	return nil
}

func checkSection(path, section string, structValue reflect.Value) error {
	for i := range structValue.NumField() {
		field := structValue.Type().Field(i)
		f := namedField{field.Tag.Get("ini"), structValue.Field(i)}
		if f.name == "-" {
			continue
		}
		if err := checkField(path, section, f, field.Tag.Get("check")); err != nil {
			return err
		}
	}
	return nil
}

func checkField(path, section string, f namedField, tag string) error {
	if tag == "" {
		return nil
	}
	for word := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(word, "=")
		check, ok := checks[name]
		if !ok {
			panic(fmt.Sprintf("inifile: unknown constraint %q on %s", name, f.name))
		}
		if err := check(checkedValue(f.value, name), argument); err != nil {
			return &Error{File: path, Section: section, Key: f.name, Detail: err.Error()}
		}
	}
	return nil
}

// checkedValue returns the value that a constraint applies to. A pointer is
// dereferenced, except for "required", which checks that it is not nil.
func checkedValue(value reflect.Value, name string) reflect.Value {
	if value.Kind() == reflect.Pointer && name != "required" {
		return value.Elem()
	}
	return value
}

func checkRequired(value reflect.Value, _ string) error {
	if value.IsZero() || (value.Kind() == reflect.Slice && value.Len() == 0) {
		return errors.New("is missing")
	}
	return nil
}

// checkAddress checks a single address or each address of a list. A single
// address may be empty: "required" rejects that where it matters.
func checkAddress(value reflect.Value, _ string) error {
	if value.Kind() == reflect.String {
		return checkSingleAddress(value.String())
	}
	for i := range value.Len() {
		if value.Index(i).Len() == 0 {
			return errors.New("the list contains an empty address")
		}
		if err := checkSingleAddress(value.Index(i).String()); err != nil {
			return err
		}
	}
	return nil
}

func checkSingleAddress(text string) error {
	if text == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q isn't IP:port; names are not looked up", text)
	}
	return nil
}

func checkPositive(value reflect.Value, _ string) error {
	positive := false
	switch {
	case value.CanInt():
		positive = value.Int() > 0
	case value.CanUint():
		positive = value.Uint() > 0
	case value.CanFloat():
		positive = value.Float() > 0
	}
	if !positive {
		return errors.New("must be above 0")
	}
	return nil
}

func checkNatural(value reflect.Value, _ string) error {
	if value.Int() < 0 {
		return errors.New("must not be negative")
	}
	return nil
}

func checkPercent(value reflect.Value, _ string) error {
	if value.Float() < 0 || value.Float() > 100 {
		return fmt.Errorf("%v isn't between 0 and 100", value.Float())
	}
	return nil
}

func checkFraction(value reflect.Value, _ string) error {
	if value.Float() < 0 || value.Float() > 1 {
		return fmt.Errorf("%v isn't between 0 and 1", value.Float())
	}
	return nil
}

func checkOneOf(value reflect.Value, argument string) error {
	words := strings.Split(argument, "|")
	for _, word := range words {
		if value.String() == word {
			return nil
		}
	}
	return fmt.Errorf("%q isn't one of %s", value.String(), strings.Join(words, ", "))
}
