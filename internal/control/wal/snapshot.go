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

func snapshotIndex(name string) (uint64, bool) { return parseFileNumber(name, snapshotSuffix) }

func segmentNumber(name string) (uint64, bool) { return parseFileNumber(name, segmentSuffix) }

func parseFileNumber(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != nameDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// saveSnapshot durably writes a snapshot file, which is one frame whose number is
// the snapshot's index.
func saveSnapshot(files FS, folder string, snapshot replica.Snapshot) error {
	payload, err := msgpack.Marshal(&snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	data := appendFrame(nil, snapshot.Meta.Index, payload)
	return writeFileAtomic(files, folder, snapshotName(snapshot.Meta.Index), data)
}

// loadSnapshot returns the newest snapshot, or an empty one if there is none. It
// doesn't fall back to an older snapshot, since the segments that the newest one
// replaces may have been removed.
func loadSnapshot(files FS, folder string, names []string) (replica.Snapshot, error) {
	indexes := sortedNumbers(names, snapshotIndex)
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

// sortedNumbers returns, in ascending order, the numbers of the names that parse
// accepts.
func sortedNumbers(names []string, parse func(string) (uint64, bool)) []uint64 {
	var out []uint64
	for _, name := range names {
		if number, ok := parse(name); ok {
			out = append(out, number)
		}
	}
	slices.Sort(out)
	return out
}
