package inifile

import "strings"

// Error describes an error in an INI file. Section is empty for errors outside
// any section, and Key for errors that concern a whole section or the file.
type Error struct {
	File    string
	Section string
	Key     string
	Detail  string
}

// Error returns the error as one line: "file: [section] key: detail".
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
