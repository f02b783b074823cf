package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file that is open for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once all written data is on stable storage.
	Sync() error
}

// FS is the set of file system operations that the log uses. The creation,
// renaming or removal of a file is durable only after SyncDir has returned.
type FS interface {
	MkdirAll(folder string) error
	ReadDir(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a new, empty file for writing.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(folder string) error
	// Lock takes an exclusive lock on the file at path and holds it until the
	// result is closed. It fails with ErrLocked if the lock is already held.
	Lock(path string) (io.Closer, error)
}

// ErrLocked reports that another process uses the data folder.
var ErrLocked = errors.New("data folder is in use by another process")

// OS returns the operating system's file system.
func OS() FS { return osFS{} }

type osFS struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

func (osFS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

func (osFS) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (osFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osFS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

func (osFS) Truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(path string) error { return os.Remove(path) }

func (osFS) SyncDir(folder string) error {
	dir, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (osFS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, ErrLocked), file.Close())
	}
	return file, nil
}
