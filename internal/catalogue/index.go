package catalogue

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"wigeonbay/internal/api"

	"github.com/cespare/xxhash/v2"
)

// absentOneIn makes a record absent from about one in absentOneIn versions.
const absentOneIn = 16

// distinctScores is the number of possible scores: the multiples of
// 1/distinctScores in [0, 1).
const distinctScores = 1 << 24

// maxCachedResults bounds the query results that an index caches; a full cache is
// emptied.
const maxCachedResults = 4096

// index is an inverted index of one version, split into shards. It caches query
// results, so that the stand-in targets use little CPU time compared with the
// system under measurement.
type index struct {
	version uint64
	shards  []map[string][]indexedRecord

	mu      sync.Mutex
	results map[string]*queryResult
}

// queryResult holds the hits of a query, by shard and over all shards, best first.
type queryResult struct {
	byShard map[api.ShardID][]api.Hit
	all     []api.Hit
}

// indexedRecord is a record with its text in one version.
type indexedRecord struct {
	id   string
	text string
}

// buildIndex indexes the records that are present in the key's version.
func buildIndex(records []record, key indexKey) *index {
	ix := &index{
		version: key.version,
		shards:  make([]map[string][]indexedRecord, key.layoutShards),
		results: make(map[string]*queryResult),
	}
	for i := range ix.shards {
		ix.shards[i] = make(map[string][]indexedRecord)
	}
	for _, r := range records {
		if isAbsent(r.id, key.version) {
			continue
		}
		shard := ix.shards[ShardOf(r.id, key.layoutShards)]
		indexed := indexedRecord{r.id, recordText(r, key.version)}
		for _, word := range slices.Compact(slices.Sorted(slices.Values(strings.Fields(indexed.text)))) {
			shard[word] = append(shard[word], indexed)
		}
	}
	return ix
}

// isAbsent reports whether a record is missing from a version, which simulates
// lots that are added and removed between versions.
func isAbsent(id string, version uint64) bool {
	return hashAtVersion(id, version)%absentOneIn == 0
}

// recordText returns the text of a record in a version.
func recordText(r record, version uint64) string {
	number := hashAtVersion(r.id+"/figure", version) % 10_000
	return fmt.Sprintf("%s %s no%d index-v%d", r.id, strings.Join(r.words, " "), number, version)
}

// queryResult returns the result of a query, from the cache if possible. The caller
// must not modify it.
func (ix *index) queryResult(query string) *queryResult {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	result, ok := ix.results[query]
	if ok {
		return result
	}
	if len(ix.results) >= maxCachedResults {
		clear(ix.results)
	}
	result = &queryResult{byShard: make(map[api.ShardID][]api.Hit)}
	for shard := range api.ShardID(len(ix.shards)) {
		if hits := ix.search(shard, query); len(hits) > 0 {
			result.byShard[shard] = hits
			result.all = append(result.all, hits...)
		}
	}
	SortHits(result.all)
	ix.results[query] = result
	return result
}

// search returns the hits of one shard that contain all words of query, best first.
func (ix *index) search(shard api.ShardID, query string) []api.Hit {
	words := strings.Fields(strings.ToLower(query))
	if len(words) == 0 {
		return nil
	}
	var hits []api.Hit
	for _, indexed := range ix.shards[shard][words[0]] {
		if !containsAll(indexed.text, words[1:]) {
			continue
		}
		hits = append(hits, api.Hit{Shard: shard, ID: indexed.id, Score: score(indexed.id, ix.version, words), Text: indexed.text})
	}
	SortHits(hits)
	return hits
}

// ContainsWords reports whether every word of query, lower-cased, occurs in text.
func ContainsWords(text, query string) bool {
	return containsAll(text, strings.Fields(strings.ToLower(query)))
}

func containsAll(text string, words []string) bool {
	for _, word := range words {
		if !containsWord(text, word) {
			return false
		}
	}
	return true
}

func containsWord(text, word string) bool {
	for field := range strings.FieldsSeq(text) {
		if field == word {
			return true
		}
	}
	return false
}

// score returns a pseudo-random score in [0, 1) that depends on the record, the
// query and the version, so that hits of different versions differ.
func score(id string, version uint64, words []string) float64 {
	return float64(hashAtVersion(id+"/"+strings.Join(words, " "), version)%distinctScores) / distinctScores
}

// SortHits sorts hits into the order of results: by descending score, then by id.
func SortHits(hits []api.Hit) {
	slices.SortFunc(hits, func(a, b api.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

func hashAtVersion(text string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s@%d", text, version))
}
