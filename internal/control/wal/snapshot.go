package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/control/replica"
)

const (
	snapshotSuffix = ".snap"
	segmentSuffix  = ".wal"
	nameDigits     = 20
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%0*d%s", nameDigits, index, snapshotSuffix)
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%0*d%s", nameDigits, number, segmentSuffix)
}

func snapshotIndex(name string) (uint64, bool) { return numberBefore(name, snapshotSuffix) }

func segmentNumber(name string) (uint64, bool) { return numberBefore(name, segmentSuffix) }

func numberBefore(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != nameDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

func saveSnapshot(files FS, folder string, snapshot replica.Snapshot) error {
	payload, err := msgpack.Marshal(&snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	data := appendFrame(nil, snapshot.Meta.Index, payload)
	return writeWhole(files, folder, snapshotName(snapshot.Meta.Index), data)
}

// loadSnapshot returns the newest snapshot, empty when there is none. Segments
// that it replaces are gone, so a damaged one can't be passed over.
func loadSnapshot(files FS, folder string, names []string) (replica.Snapshot, error) {
	indexes := numbers(names, snapshotIndex)
	if len(indexes) == 0 {
		return replica.Snapshot{}, nil
	}
	index := indexes[len(indexes)-1]
	data, err := files.ReadFile(filepath.Join(folder, snapshotName(index)))
	if err != nil {
		return replica.Snapshot{}, fmt.Errorf("read snapshot: %w", err)
	}
	payload, size, ok := readFrame(data, index)
	var snapshot replica.Snapshot
	if !ok || size != len(data) || msgpack.Unmarshal(payload, &snapshot) != nil {
		return replica.Snapshot{}, &FolderError{folder, snapshotName(index) + " is damaged"}
	}
	return snapshot, nil
}

// numbers returns the numbers in names that parse accepts, in order.
func numbers(names []string, parse func(string) (uint64, bool)) []uint64 {
	var out []uint64
	for _, name := range names {
		if number, ok := parse(name); ok {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}
