// Package catalogue generates small, deterministic search catalogues of veneer
// lots and emission declarations. The text and score of every record depend on
// the index version, so hits of two versions differ, and ExpectedHits returns the
// complete correct result of a query, against which an answer can be checked.
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
	// Lots holds veneer flitches offered at auction.
	Lots = "lots"
	// Declarations holds emission declarations and supplier certificates.
	Declarations = "declarations"
)

// DefaultRecords is the number of records in a catalogue returned by New.
const DefaultRecords = 2400

// wordsPerQuery is the number of words in a generated query.
const wordsPerQuery = 3

// Catalogue is a generated catalogue with an index for each layout and version in
// use. It is safe for concurrent use.
type Catalogue struct {
	name    string
	records []record

	mu      sync.Mutex
	indexes map[indexKey]*index
}

// record is the part of a catalogue record that is the same in all versions.
type record struct {
	id    string
	words []string
}

// indexKey identifies an index by the number of shards and the version.
type indexKey struct {
	layoutShards int
	version      uint64
}

// New returns the named catalogue with DefaultRecords records.
func New(name string) (*Catalogue, error) {
	return NewSized(name, DefaultRecords)
}

// NewSized returns the named catalogue with the given number of records. The
// result depends only on the arguments.
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

// Search returns the hits of one shard, best first. The caller must not modify the
// returned slice.
func (c *Catalogue) Search(layoutShards int, version uint64, shard api.ShardID, query string) []api.Hit {
	return c.index(layoutShards, version).queryResult(query).byShard[shard]
}

// ExpectedHits returns all hits of a query over all shards of one version, best
// first. The caller may modify the returned slice.
func ExpectedHits(c *Catalogue, layoutShards int, version uint64, query string) []api.Hit {
	return slices.Clone(c.index(layoutShards, version).queryResult(query).all)
}

// Queries returns n queries of words that occur together in a random record, drawn
// with the given seed. A query has hits in every version that contains a record
// with these words.
func (c *Catalogue) Queries(n int, seed uint64) []string {
	random := newRandom(seed)
	queries := make([]string, n)
	for i := range queries {
		words := slices.Clone(c.records[random.IntN(len(c.records))].words)
		random.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
		queries[i] = strings.Join(words[:wordsPerQuery], " ")
	}
	return queries
}

// index returns the index for one layout and version, building it on first use.
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
