// Package catalogue generates small search catalogues with a fixed seed:
// veneer lots and emission declarations. The content of every record depends
// on the index version, so hits of two versions can be told apart by their
// text and score alone, and Expected gives the full right answer to a query,
// against which an answer can be checked.
package catalogue

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"wigeonbay/internal/api"

	"github.com/cespare/xxhash/v2"
)

// Names of the generated catalogues.
const (
	// Lots holds veneer flitches on auction.
	Lots = "lots"
	// Declarations holds emission declarations and supplier certificates.
	Declarations = "declarations"
)

// DefaultRecords is the number of records of a catalogue unless another
// number is asked for.
const DefaultRecords = 2400

// queryWords is the number of words in a generated query.
const queryWords = 3

// Catalogue is one generated catalogue at all of its index versions. It is
// safe for concurrent use.
type Catalogue struct {
	name    string
	records []record

	mu      sync.Mutex
	indexes map[indexKey]*index
}

// record is what stays the same of one entry through all versions.
type record struct {
	id    string
	words []string
}

type indexKey struct {
	layoutShards int
	version      uint64
}

// New returns the named catalogue with DefaultRecords records.
func New(name string) (*Catalogue, error) {
	return NewSized(name, DefaultRecords)
}

// NewSized returns the named catalogue with the given number of records. Equal
// arguments give equal catalogues.
func NewSized(name string, records int) (*Catalogue, error) {
	generate, ok := generators[name]
	if !ok {
		return nil, fmt.Errorf("catalogue %q is neither %q nor %q", name, Lots, Declarations)
	}
	if records < 1 {
		return nil, fmt.Errorf("catalogue %q needs at least 1 record, not %d", name, records)
	}
	return &Catalogue{
		name:    name,
		records: generate(records),
		indexes: make(map[indexKey]*index),
	}, nil
}

// Name returns the name of the catalogue.
func (c *Catalogue) Name() string {
	return c.name
}

// ShardOf returns the shard that holds the record with the given id in a
// layout of layoutShards shards.
func ShardOf(id string, layoutShards int) api.ShardID {
	return api.ShardID(xxhash.Sum64String(id) % uint64(layoutShards))
}

// Search returns the hits of one shard, best first. The caller must not change
// them.
func (c *Catalogue) Search(layoutShards int, version uint64, shard api.ShardID, query string) []api.Hit {
	return c.index(layoutShards, version).answer(query).byShard[shard]
}

// Expected returns the full right answer to a query on one snapshot, best hit
// first. The result is the caller's own.
func Expected(c *Catalogue, layoutShards int, version uint64, query string) []api.Hit {
	return slices.Clone(c.index(layoutShards, version).answer(query).all)
}

// Queries returns n queries that a caller may ask of the catalogue, drawn with
// the given seed. Each of them has hits.
func (c *Catalogue) Queries(n int, seed uint64) []string {
	random := newRandom(seed)
	queries := make([]string, n)
	for i := range queries {
		words := slices.Clone(c.records[random.IntN(len(c.records))].words)
		random.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
		queries[i] = strings.Join(words[:queryWords], " ")
	}
	return queries
}

// index returns the index of one version, built on first use.
func (c *Catalogue) index(layoutShards int, version uint64) *index {
	key := indexKey{layoutShards, version}
	c.mu.Lock()
	defer c.mu.Unlock()
	ix, ok := c.indexes[key]
	if !ok {
		ix = buildIndex(c.records, key)
		c.indexes[key] = ix
	}
	return ix
}
