// Package inifile strictly decodes INI files into structs. An unknown section or
// key, a duplicate section or key, and a value that doesn't parse are errors that
// name the file, the section and the key.
//
// A comment begins with # or ; at the start of a line or after a space. A value
// may be enclosed in single or double quotes, which are removed. Values can't
// span lines and are not expanded. Section and key names are case-sensitive.
package inifile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes limits the size of a file, so that a wrong path can't exhaust
// memory.
const maxFileBytes = 4 << 20

// unusedDelimiter separates parent from child sections and must not occur in a
// section name: with the library's default, a dot, [peer a.b] would inherit the
// keys of [peer a].
const unusedDelimiter = "\x00"

// options turn off the features of the library that conflict with the syntax in
// the package comment, and keep duplicates so that decode can reject them.
var options = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      unusedDelimiter,
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// Load decodes the file at path into dst, a pointer to a struct. Every error is
// an *Error.
//
// A struct field of dst holds the section named by its ini tag. A slice of
// structs holds the sections "tag NAME", with NAME in the first field of each
// struct. Other fields are keys outside any section. Fields without an ini tag or
// with the tag "-" are not changed, and a pointer is not set if its key is
// absent.
func Load(path string, dst any) error {
	data, err := readFile(path)
	if err != nil {
		return &Error{File: path, Detail: err.Error()}
	}
	return Parse(path, data, dst)
}

// Parse is like Load for the content of a file. path is used only in errors.
func Parse(path string, data []byte, dst any) error {
	if err := checkSectionLines(path, string(data)); err != nil {
		return err
	}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return &Error{File: path, Detail: strings.TrimSpace(err.Error())}
	}
	return decode(path, file, dst)
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("can't be read: %w", withoutPath(err))
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("can't be read: %w", withoutPath(err))
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// withoutPath removes the path from an error, since Error already contains it.
func withoutPath(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// checkSectionLines rejects section headers without a closing bracket, and text
// after a section header, which the library ignores.
func checkSectionLines(path, text string) error {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "[") {
			continue
		}
		end := strings.LastIndex(line, "]")
		if end < 0 {
			return &Error{File: path, Detail: fmt.Sprintf("section header %q has no closing bracket", line)}
		}
		trailing := strings.TrimSpace(line[end+1:])
		if trailing != "" && trailing[0] != '#' && trailing[0] != ';' {
			return &Error{File: path, Section: line[1:end], Detail: fmt.Sprintf("unexpected text %q after the section header", trailing)}
		}
	}
	return nil
}
