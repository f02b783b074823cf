package api

import "fmt"

// Snapshot identifies one state of a service's index: which shard layout and
// which index version. Every answer is computed on exactly one Snapshot.
type Snapshot struct {
	// Layout is the number of the shard layout; a repartition raises it.
	Layout uint32 `json:"layout"`
	// Version is the index version; a reindex raises it.
	Version uint64 `json:"version"`
}

// IsZero reports whether no snapshot has been chosen.
func (s Snapshot) IsZero() bool {
	return s == Snapshot{}
}

// Newer reports whether s is newer than other: by version first, then layout.
func (s Snapshot) Newer(other Snapshot) bool {
	if s.Version != other.Version {
		return s.Version > other.Version
	}
	return s.Layout > other.Layout
}

// String renders the snapshot as layout.version.
func (s Snapshot) String() string {
	return fmt.Sprintf("%d.%d", s.Layout, s.Version)
}

// ShardID is the number of a shard within its layout, from 0.
type ShardID uint32
