package wal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
)

// Format is the version of the data folder layout that this program writes. It
// can also read format 1, which has no sync markers.
const Format = 2

const (
	identityName = "identity.json"
	lockName     = "lock"
	tempSuffix   = ".tmp"
)

// Identity identifies the group and the replica that own a data folder.
type Identity struct {
	Format  int    `json:"format"`
	Group   string `json:"group"`
	Replica string `json:"replica"`
	// Incarnation is generated when the folder is initialised. A folder that lost
	// its log gets a new one, so that the replica isn't mistaken for the one that
	// acknowledged the lost entries.
	Incarnation string `json:"incarnation"`
	// FirstStart is set if the folder was initialised by a process that may found the group.
	// It lasts, so that a process that ended before the group was founded is known from one
	// whose folder was lost.
	FirstStart bool `json:"first_start,omitempty"`
}

// FolderError reports why a data folder was rejected. Its log segments and
// snapshots have not been changed.
type FolderError struct {
	Folder string
	Detail string
}

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder %s: %s", e.Folder, e.Detail)
}

// readIdentity returns the identity stored in the folder, or nil if the folder has
// neither an identity nor log files.
func readIdentity(files FS, folder string) (*Identity, error) {
	data, err := files.ReadFile(filepath.Join(folder, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, rejectFilesWithoutIdentity(files, folder)
	}
	if err != nil {
		return nil, fmt.Errorf("read identity: %w", err)
	}
	identity := &Identity{}
	if err := json.Unmarshal(data, identity); err != nil {
		return nil, &FolderError{folder, identityName + " is damaged: " + err.Error()}
	}
	return identity, nil
}

// rejectFilesWithoutIdentity rejects a folder without an identity that contains
// segments or snapshots. Initialising it as empty would hide the loss of entries
// that the replica had acknowledged.
func rejectFilesWithoutIdentity(files FS, folder string) error {
	names, err := files.ReadDir(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range names {
		if _, ok := segmentNumber(name); ok {
			return &FolderError{folder, "holds log segments but no " + identityName}
		}
		if _, ok := snapshotIndex(name); ok {
			return &FolderError{folder, "holds snapshots but no " + identityName}
		}
	}
	return nil
}

// validate rejects a folder that belongs to another group or replica, has a newer
// format or lacks a field.
func (i *Identity) validate(folder string, want Identity) error {
	switch {
	case i.Format > want.Format:
		return &FolderError{folder, fmt.Sprintf("has format %d, newer than this program's %d", i.Format, want.Format)}
	case i.Group != want.Group:
		return &FolderError{folder, fmt.Sprintf("belongs to group %q, not %q", i.Group, want.Group)}
	case i.Replica != want.Replica:
		return &FolderError{folder, fmt.Sprintf("belongs to replica %q, not %q", i.Replica, want.Replica)}
	case i.Incarnation == "" || i.Format <= 0:
		return &FolderError{folder, identityName + " is damaged: a field is missing"}
	}
	return nil
}

func writeIdentity(files FS, folder string, identity Identity) error {
	data, err := json.MarshalIndent(identity, "", "  ")
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return writeFileAtomic(files, folder, identityName, data)
}

// writeFileAtomic writes and syncs a temporary file, renames it to name and syncs
// the folder. After a crash the file has its previous content or all of data.
func writeFileAtomic(files FS, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	tempPath := path + tempSuffix
	if err := writeFile(files, tempPath, data); err != nil {
		return err
	}
	if err := files.Rename(tempPath, path); err != nil {
		return fmt.Errorf("rename %s: %w", tempPath, err)
	}
	if err := files.SyncDir(folder); err != nil {
		return fmt.Errorf("sync %s: %w", folder, err)
	}
	return nil
}

// writeFile writes and syncs a new file. If it fails, it removes the file, whose room other
// writes may need on a full disk.
func writeFile(files FS, path string, data []byte) error {
	file, err := files.Create(path)
	if err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", path, errors.Join(err, files.Remove(path)))
	}
	return nil
}
