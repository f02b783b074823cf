package inifile

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// rule reports what is wrong with a value, nil when nothing is.
type rule func(value reflect.Value, argument string) error

// rules are the checks that a field's check tag can name, separated by commas;
// "oneof=a|b" has an argument.
var rules = map[string]rule{
	"required": checkRequired,
	"hostport": checkAddress,
	"positive": checkPositive,
	"natural":  checkNatural,
	"percent":  checkPercent,
	"fraction": checkFraction,
	"oneof":    checkOneOf,
}

// Check applies the rules of the check tags of src, a pointer to a structure
// filled by Load. Every error is an *Error.
func Check(path string, src any) error {
	structure := reflect.ValueOf(src).Elem()
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name := field.Tag.Get("ini")
		m := member{name, structure.Field(i)}
		if err := checkMember(path, m, field.Tag.Get("check")); err != nil {
			return err
		}
	}
	return nil
}

func checkMember(path string, m member, tag string) error {
	switch {
	case m.name == "" || m.name == "-":
		return nil
	case m.isSection():
		return checkFields(path, m.name, m.value)
	case m.isSectionList():
		return checkItems(path, m)
	default:
		return checkField(path, "", m, tag)
	}
}

func checkItems(path string, m member) error {
	for i := range m.value.Len() {
		item := m.value.Index(i)
		section := m.name + " " + item.Field(0).String()
		if err := checkFields(path, section, item); err != nil {
			return err
		}
	}
	return nil
}

func checkFields(path, section string, structure reflect.Value) error {
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		m := member{field.Tag.Get("ini"), structure.Field(i)}
		if m.name == "-" {
			continue
		}
		if err := checkField(path, section, m, field.Tag.Get("check")); err != nil {
			return err
		}
	}
	return nil
}

func checkField(path, section string, m member, tag string) error {
	if tag == "" {
		return nil
	}
	for word := range strings.SplitSeq(tag, ",") {
		name, argument, _ := strings.Cut(word, "=")
		check, ok := rules[name]
		if !ok {
			panic(fmt.Sprintf("inifile: unknown rule %q on %s", name, m.name))
		}
		if err := check(target(m.value, name), argument); err != nil {
			return &Error{File: path, Section: section, Key: m.name, Detail: err.Error()}
		}
	}
	return nil
}

// target returns what a rule looks at: what a pointer points to, but the
// pointer itself for the rule that it be given.
func target(value reflect.Value, name string) reflect.Value {
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

// checkAddress takes an address, or a list of them; an empty one is left to
// the rule required.
func checkAddress(value reflect.Value, _ string) error {
	if value.Kind() == reflect.String {
		return parseAddress(value.String())
	}
	for i := range value.Len() {
		if value.Index(i).Len() == 0 {
			return errors.New("an address of the list is empty")
		}
		if err := parseAddress(value.Index(i).String()); err != nil {
			return err
		}
	}
	return nil
}

func parseAddress(text string) error {
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
		return errors.New("must not be below 0")
	}
	return nil
}

func checkPercent(value reflect.Value, _ string) error {
	if value.Float() < 0 || value.Float() > 100 {
		return fmt.Errorf("%v isn't from 0 to 100", value.Float())
	}
	return nil
}

func checkFraction(value reflect.Value, _ string) error {
	if value.Float() < 0 || value.Float() > 1 {
		return fmt.Errorf("%v isn't from 0 to 1", value.Float())
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
