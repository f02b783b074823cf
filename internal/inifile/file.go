// Package inifile reads INI files strictly into structures: a section or key
// that the structure doesn't name, a section or key given twice and a value
// that doesn't parse are errors that name the file, the section and the key.
//
// The dialect is small. A comment begins with # or ; at the start of a line or
// after a space. A value may stand in single or double quotes, which are
// removed; it can't go on in the next line, and nothing in it is expanded.
// Names of sections and keys are case-sensitive.
package inifile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a file, so that a wrong path can't fill the memory.
const maxFileBytes = 4 << 20

// unusedDelimiter can't occur in a section's name. The library's default, a
// dot, would let [peer a.b] inherit the keys of [peer a].
const unusedDelimiter = "\x00"

// options keep the library from guessing: see the package's comment.
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

// Load reads the file at path into dst, a pointer to a structure. Every error
// is an *Error.
//
// A field of dst that is a structure is a section, named by the field's ini
// tag. A slice of structures takes the sections "tag NAME", with NAME in the
// structure's first field. Other fields are keys outside any section. A field
// whose tag is "-" is left alone, and a pointer stays nil when its key is not
// given.
func Load(path string, dst any) error {
	data, err := read(path)
	if err != nil {
		return &Error{File: path, Detail: err.Error()}
	}
	return Parse(path, data, dst)
}

// Parse is Load for a file's content; path is for messages only.
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

func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("can't be read: %w", pathCause(err))
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("can't be read: %w", pathCause(err))
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// pathCause strips the path, which the message names already.
func pathCause(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// checkSectionLines refuses text after a section's name: the library would
// drop it without a word.
func checkSectionLines(path, text string) error {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "[") {
			continue
		}
		end := strings.LastIndex(line, "]")
		if end < 0 {
			return &Error{File: path, Detail: fmt.Sprintf("section %q isn't closed", line)}
		}
		rest := strings.TrimSpace(line[end+1:])
		if rest != "" && rest[0] != '#' && rest[0] != ';' {
			return &Error{File: path, Section: line[1:end], Detail: fmt.Sprintf("unexpected text %q after the section's name", rest)}
		}
	}
	return nil
}
