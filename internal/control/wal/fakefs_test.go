package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// fakeFS is an in-memory file system that keeps track of what is synced, injects a
// fault at a chosen step, and drops unsynced data on a simulated power loss.
type fakeFS struct {
	// live holds the files that a running process sees, by path. durable holds the
	// files that survive a power loss: those that existed at the last SyncDir, each
	// with its last synced content.
	live    map[string]*fakeFile
	durable map[string]*fakeFile
	locked  bool

	// steps counts the modifying calls. The fault occurs at step failAt; 0 means
	// never.
	steps  int
	failAt int
	fault  fault
}

// fault is a kind of injected failure.
type fault uint8

const (
	// faultPowerLoss fails the step and all later ones without effect.
	faultPowerLoss fault = iota
	// faultShortWrite is faultPowerLoss, but a failed write still writes half of its
	// data.
	faultShortWrite
	// faultFailedCall fails this step alone, without effect.
	faultFailedCall
	// faultDiskFull fails all writes and file creations from this step on. A failed
	// write still writes half of its data.
	faultDiskFull
)

var faults = map[string]fault{
	"power loss": faultPowerLoss, "short write": faultShortWrite, "failed call": faultFailedCall, "full disk": faultDiskFull,
}

var (
	errPowerLoss = errors.New("power lost")
	errIO        = errors.New("input/output error")
	errDiskFull  = fmt.Errorf("write: %w", syscall.ENOSPC)
)

type fakeFile struct {
	data   []byte
	synced []byte
}

func newFakeFS() *fakeFS {
	return &fakeFS{live: map[string]*fakeFile{}, durable: map[string]*fakeFile{}}
}

// step counts a modifying call and returns the error that is injected into it.
func (f *fakeFS) step(needsSpace bool) error {
	f.steps++
	if f.failAt == 0 || f.steps < f.failAt {
		return nil
	}
	switch {
	case f.fault == faultPowerLoss || f.fault == faultShortWrite:
		return errPowerLoss
	case f.fault == faultFailedCall && f.steps == f.failAt:
		return errIO
	case f.fault == faultDiskFull && needsSpace:
		return errDiskFull
	}
	return nil
}

// losePower drops unsynced data. Up to tail unsynced bytes at the end of each file
// survive, as a disk may have written part of its cache.
func (f *fakeFS) losePower(tail int) {
	f.live = map[string]*fakeFile{}
	for path, file := range f.durable {
		data := slices.Clone(file.synced)
		if len(file.data) > len(data) {
			data = append(data, file.data[len(data):min(len(file.data), len(data)+tail)]...)
		}
		kept := &fakeFile{data: data, synced: slices.Clone(data)}
		f.live[path] = kept
	}
	f.durable = map[string]*fakeFile{}
	for path, file := range f.live {
		f.durable[path] = file
	}
	f.locked = false
	f.steps, f.failAt = 0, 0
}

func (f *fakeFS) MkdirAll(string) error { return nil }

func (f *fakeFS) ReadDir(folder string) ([]string, error) {
	var names []string
	for path := range f.live {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *fakeFS) ReadFile(path string) ([]byte, error) {
	file, ok := f.live[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *fakeFS) Create(path string) (File, error) {
	if err := f.step(true); err != nil {
		return nil, err
	}
	file := &fakeFile{}
	f.live[path] = file
	return &fakeHandle{f, file}, nil
}

func (f *fakeFS) Append(path string) (File, error) {
	file, ok := f.live[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &fakeHandle{f, file}, nil
}

func (f *fakeFS) Truncate(path string, size int64) error {
	if err := f.step(false); err != nil {
		return err
	}
	file := f.live[path]
	file.data = file.data[:size]
	file.synced = slices.Clone(file.data)
	return nil
}

func (f *fakeFS) Rename(from, to string) error {
	if err := f.step(false); err != nil {
		return err
	}
	f.live[to] = f.live[from]
	delete(f.live, from)
	return nil
}

func (f *fakeFS) Remove(path string) error {
	if err := f.step(false); err != nil {
		return err
	}
	delete(f.live, path)
	return nil
}

func (f *fakeFS) SyncDir(folder string) error {
	if err := f.step(false); err != nil {
		return err
	}
	for path := range f.durable {
		if strings.HasPrefix(path, folder) && f.live[path] == nil {
			delete(f.durable, path)
		}
	}
	for path, file := range f.live {
		f.durable[path] = file
	}
	return nil
}

func (f *fakeFS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, ErrLocked
	}
	f.locked = true
	return fakeLock{f}, nil
}

type fakeLock struct{ f *fakeFS }

func (u fakeLock) Close() error {
	u.f.locked = false
	return nil
}

type fakeHandle struct {
	f    *fakeFS
	file *fakeFile
}

func (h *fakeHandle) Write(data []byte) (int, error) {
	if err := h.f.step(true); err != nil {
		if h.f.fault == faultShortWrite || h.f.fault == faultDiskFull {
			h.file.data = append(h.file.data, data[:len(data)/2]...)
			return len(data) / 2, err
		}
		return 0, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *fakeHandle) Sync() error {
	if err := h.f.step(false); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *fakeHandle) Close() error { return nil }
