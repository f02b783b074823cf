package settings

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Error is a fault in a settings file.
type Error struct {
	File    string
	Section string
	Key     string
	Detail  string
}

// Error implements error with one line that names file, section and key.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Detail)
}

// LoadEntry reads and checks the settings of wigeon-entry.
func LoadEntry(path string) (*Entry, error) {
	out := DefaultEntry()
	return out, load(path, out)
}

// LoadControl reads and checks the settings of wigeon-control.
func LoadControl(path string) (*Control, error) {
	out := DefaultControl()
	return out, load(path, out)
}

// LoadSearcher reads and checks the settings of wigeon-searcher.
func LoadSearcher(path string) (*Searcher, error) {
	out := &Searcher{}
	return out, load(path, out)
}

func load(path string, dst any) error {
	file, err := ini.Load(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return decode(path, file, dst)
}
