package inifile

import "strings"

// Error is a fault in an INI file. Section and Key are empty when the fault
// lies outside a section or concerns the section as a whole.
type Error struct {
	File    string
	Section string
	Key     string
	Detail  string
}

// Error implements error with one line: "file: [section] key: what is wrong".
func (e *Error) Error() string {
	var line strings.Builder
	line.WriteString(e.File + ": ")
	if e.Section != "" {
		line.WriteString("[" + e.Section + "] ")
	}
	if e.Key != "" {
		line.WriteString(e.Key + ": ")
	}
	line.WriteString(e.Detail)
	return line.String()
}
