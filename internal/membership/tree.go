package membership

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The digest tree sums the records by the top bits of the hash of their names:
// each level splits each part in sixteen. The sum is exclusive or, so that it
// follows a change without a look at the other records.
const (
	treeDepth    = 3
	treeBits     = 4
	treeChildren = 1 << treeBits
	treeLeaves   = 1 << (treeDepth * treeBits)
)

// tree holds the sums of every level; leaves also hold the names' hashes.
type tree struct {
	levels [treeDepth + 1][treeLeaves]uint64
	leaves [treeLeaves]map[uint64]leafRecord
}

// leafRecord says which record a name's hash stands for.
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

// versionHash returns the hash of what orders a record's versions.
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

// set replaces the version of a record; a version of 0 removes it.
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

// names returns the names' hashes in a leaf, in order.
func (t *tree) names(leaf uint16) []uint64 {
	return slices.Sorted(maps.Keys(t.leaves[leaf]))
}

// bucket returns one part's sum.
func (t *tree) bucket(depth uint8, index uint16) Bucket {
	return Bucket{Depth: depth, Index: index, Hash: t.levels[depth][index]}
}

// valid reports whether a bucket that a peer sent exists.
func (b Bucket) valid() bool {
	return b.Depth <= treeDepth && int(b.Index) < 1<<(treeBits*int(b.Depth))
}
