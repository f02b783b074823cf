package inifile

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// unquote removes one pair of quotes around text. It rejects unbalanced quotes,
// values that span lines, and comments after a tab, which the library takes for
// part of the value.
func unquote(text string) (string, error) {
	if strings.ContainsAny(text, "\r\n") {
		return "", errors.New("the value spans more than one line")
	}
	if text == "" || !strings.ContainsRune(`"'`, rune(text[0])) {
		if strings.Contains(text, "\t#") || strings.Contains(text, "\t;") {
			return "", errors.New("a comment after a value must follow a space, not a tab")
		}
		return text, nil
	}
	quote := text[:1]
	unquoted, closed := strings.CutSuffix(text[1:], quote)
	if !closed || strings.Contains(unquoted, quote) {
		return "", fmt.Errorf("unbalanced quotes in %s", text)
	}
	return unquoted, nil
}

func setField(field reflect.Value, text string) error {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		return setDuration(field, text)
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
		return nil
	case reflect.Bool:
		return setBool(field, text)
	case reflect.Int, reflect.Int64:
		return setInt(field, text)
	case reflect.Uint64, reflect.Uint32:
		return setUint(field, text)
	case reflect.Float64:
		return setFloat(field, text)
	case reflect.Pointer:
		field.Set(reflect.New(field.Type().Elem()))
		return setField(field.Elem(), text)
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(text)))
		return nil
	default:
		panic(fmt.Sprintf("inifile: unsupported field type %s", field.Type()))
	}
}

func setDuration(field reflect.Value, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q isn't a duration, such as 250ms or 2s", text)
	}
	field.SetInt(int64(d))
	return nil
}

// setBool accepts only true and false: which other spellings are valid differs
// between INI parsers.
func setBool(field reflect.Value, text string) error {
	if text != "true" && text != "false" {
		return fmt.Errorf("%q is neither true nor false", text)
	}
	field.SetBool(text == "true")
	return nil
}

func setInt(field reflect.Value, text string) error {
	n, err := strconv.ParseInt(text, 10, field.Type().Bits())
	if err != nil {
		return fmt.Errorf("%q isn't a whole number in range", text)
	}
	field.SetInt(n)
	return nil
}

func setUint(field reflect.Value, text string) error {
	n, err := strconv.ParseUint(text, 10, field.Type().Bits())
	if err != nil {
		return fmt.Errorf("%q isn't a whole number from 0 in range", text)
	}
	field.SetUint(n)
	return nil
}

func setFloat(field reflect.Value, text string) error {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || x != x || x-x != 0 {
		return fmt.Errorf("%q isn't a number", text)
	}
	field.SetFloat(x)
	return nil
}

// splitList splits text at commas and trims each item.
func splitList(text string) []string {
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}
