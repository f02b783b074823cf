package settings

import (
	"wigeonbay/internal/inifile"
)

// Error describes an error in a settings file by file, section and key.
type Error = inifile.Error

// LoadEntry reads and checks the settings of wigeon-entry. Every error is an
// *Error.
func LoadEntry(path string) (*Entry, error) {
	out := DefaultEntry()
	if err := load(path, out); err != nil {
		return nil, err
	}
	return out, checkEntry(path, out)
}

// LoadControl reads and checks the settings of wigeon-control. Every error is
// an *Error.
func LoadControl(path string) (*Control, error) {
	out := DefaultControl()
	if err := load(path, out); err != nil {
		return nil, err
	}
	return out, checkControl(path, out)
}

// LoadSearcher reads and checks the settings of wigeon-searcher. Every error
// is an *Error.
func LoadSearcher(path string) (*Searcher, error) {
	out := &Searcher{}
	if err := load(path, out); err != nil {
		return nil, err
	}
	return out, checkSearcher(path, out)
}

// LoadCtl reads and checks the settings of wigeonctl. Every error is an
// *Error.
func LoadCtl(path string) (*Ctl, error) {
	out := &Ctl{}
	if err := load(path, out); err != nil {
		return nil, err
	}
	return out, checkCtl(path, out)
}

func load(path string, dst any) error {
	if err := inifile.Load(path, dst); err != nil {
		return err
	}
	return inifile.Check(path, dst)
}
