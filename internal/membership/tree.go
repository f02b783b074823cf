package membership

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The digest tree groups the records by the top bits of the hash of their
// names: each level splits a bucket into sixteen. A bucket's hash is the
// exclusive or of the version hashes of its records, so that a changed record
// updates it without a look at the others.
const (
	treeDepth    = 3
	treeBits     = 4
	treeChildren = 1 << treeBits
	treeLeaves   = 1 << (treeDepth * treeBits)
)

// tree holds the bucket hashes of every level; leaves also hold the records, by
// the hashes of their names.
type tree struct {
	levels [treeDepth + 1][treeLeaves]uint64
	leaves [treeLeaves]map[uint64]leafRecord
}

// leafRecord identifies a record of the tree and holds the hash of its version.
type leafRecord struct {
	name    string
	target  bool
	version uint64
}

// nameHash returns the hash that places a record in the tree.
func nameHash(target bool, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(0)
	if target {
		d.ResetWithSeed(1)
	}
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// versionHash returns the hash of the fields that order a record's versions.
func versionHash(name uint64, parts ...uint64) uint64 {
	var buf [8 * 6]byte
	b := binary.LittleEndian.AppendUint64(buf[:0], name)
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return xxhash.Sum64(b)
}

func treeIndex(depth uint8, name uint64) uint16 {
	return uint16(name >> (64 - treeBits*uint(depth)))
}

// set replaces the version hash of a record; a version of 0 removes the record.
func (t *tree) set(target bool, name string, version uint64) {
	hash := nameHash(target, name)
	leaf := treeIndex(treeDepth, hash)
	old := t.leaves[leaf][hash].version
	if old == version {
		return
	}
	for depth := range uint8(treeDepth + 1) {
		t.levels[depth][treeIndex(depth, hash)] ^= old ^ version
	}
	if version == 0 {
		delete(t.leaves[leaf], hash)
		return
	}
	if t.leaves[leaf] == nil {
		t.leaves[leaf] = map[uint64]leafRecord{}
	}
	t.leaves[leaf][hash] = leafRecord{name: name, target: target, version: version}
}

// find returns the record whose name has the given hash.
func (t *tree) find(name uint64) (leafRecord, bool) {
	r, ok := t.leaves[treeIndex(treeDepth, name)][name]
	return r, ok
}

// names returns the hashes of the names in a leaf, sorted.
func (t *tree) names(leaf uint16) []uint64 {
	return slices.Sorted(maps.Keys(t.leaves[leaf]))
}

// bucket returns one bucket of the tree.
func (t *tree) bucket(depth uint8, index uint16) Bucket {
	return Bucket{Depth: depth, Index: index, Hash: t.levels[depth][index]}
}

// valid reports whether the tree has a bucket with this depth and index. A
// peer may send an invalid one.
func (b Bucket) valid() bool {
	return b.Depth <= treeDepth && int(b.Index) < 1<<(treeBits*int(b.Depth))
}
