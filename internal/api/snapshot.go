package api

import "fmt"

// Snapshot identifies a state of a service's index by shard layout and index
// version. Every answer is computed on exactly one Snapshot.
type Snapshot struct {
	// Layout is the number of the shard layout, increased by each repartition.
	Layout uint32 `json:"layout"`
	// Version is the index version, increased by each reindex.
	Version uint64 `json:"version"`
}

// IsZero reports whether s is the zero value, which means that no snapshot has
// been chosen.
func (s Snapshot) IsZero() bool {
	return s == Snapshot{}
}

// Newer reports whether s is newer than other, ordered by version and then by
// layout.
func (s Snapshot) Newer(other Snapshot) bool {
	if s.Version != other.Version {
		return s.Version > other.Version
	}
	return s.Layout > other.Layout
}

// String returns the snapshot in the form layout.version.
func (s Snapshot) String() string {
	return fmt.Sprintf("%d.%d", s.Layout, s.Version)
}

// ShardID is the number of a shard within its layout, starting at 0.
type ShardID uint32
