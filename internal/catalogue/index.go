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

// absentOneIn is how often a record is absent from a version: 1 in so many.
const absentOneIn = 16

// scoreSteps is the number of distinct scores.
const scoreSteps = 1 << 24

// maxAnswers bounds the answers that an index keeps.
const maxAnswers = 4096

// index finds the records of one version by word, shard by shard. It keeps the
// answers to the queries asked last, so that the stand-ins' own work stays
// small beside that of the system that is measured.
type index struct {
	version uint64
	shards  []map[string][]entry

	mu      sync.Mutex
	answers map[string]*answer
}

// answer is the whole answer to a query: by shard, and all hits, best first.
type answer struct {
	byShard map[api.ShardID][]api.Hit
	all     []api.Hit
}

// entry is one record as it stands in one version.
type entry struct {
	id   string
	text string
}

func buildIndex(records []record, key indexKey) *index {
	ix := &index{
		version: key.version,
		shards:  make([]map[string][]entry, key.layoutShards),
		answers: make(map[string]*answer),
	}
	for i := range ix.shards {
		ix.shards[i] = make(map[string][]entry)
	}
	for _, r := range records {
		if absent(r.id, key.version) {
			continue
		}
		shard := ix.shards[ShardOf(r.id, key.layoutShards)]
		e := entry{r.id, textAt(r, key.version)}
		for _, word := range slices.Compact(slices.Sorted(slices.Values(strings.Fields(e.text)))) {
			shard[word] = append(shard[word], e)
		}
	}
	return ix
}

// absent reports whether a record is missing from a version, as lots come and
// go with each reindex.
func absent(id string, version uint64) bool {
	return hash(id, version)%absentOneIn == 0
}

// textAt renders a record as it stands in a version.
func textAt(r record, version uint64) string {
	figure := hash(r.id+"/figure", version) % 10_000
	return fmt.Sprintf("%s %s no%d index-v%d", r.id, strings.Join(r.words, " "), figure, version)
}

// answer returns the answer to a query; it must not be changed.
func (ix *index) answer(query string) *answer {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	a, ok := ix.answers[query]
	if ok {
		return a
	}
	if len(ix.answers) >= maxAnswers {
		clear(ix.answers)
	}
	a = &answer{byShard: make(map[api.ShardID][]api.Hit)}
	for shard := range api.ShardID(len(ix.shards)) {
		if hits := ix.search(shard, query); len(hits) > 0 {
			a.byShard[shard] = hits
			a.all = append(a.all, hits...)
		}
	}
	Sort(a.all)
	ix.answers[query] = a
	return a
}

func (ix *index) search(shard api.ShardID, query string) []api.Hit {
	words := strings.Fields(strings.ToLower(query))
	if len(words) == 0 {
		return nil
	}
	var hits []api.Hit
	for _, e := range ix.shards[shard][words[0]] {
		if !hasWords(e.text, words[1:]) {
			continue
		}
		hits = append(hits, api.Hit{Shard: shard, ID: e.id, Score: score(e.id, ix.version, words), Text: e.text})
	}
	Sort(hits)
	return hits
}

// HasWords reports whether each word of query occurs in text.
func HasWords(text, query string) bool {
	return hasWords(text, strings.Fields(strings.ToLower(query)))
}

func hasWords(text string, words []string) bool {
	for _, word := range words {
		if !hasWord(text, word) {
			return false
		}
	}
	return true
}

func hasWord(text, word string) bool {
	for have := range strings.FieldsSeq(text) {
		if have == word {
			return true
		}
	}
	return false
}

// score depends on the version, so that a hit of another version differs.
func score(id string, version uint64, words []string) float64 {
	return float64(hash(id+"/"+strings.Join(words, " "), version)%scoreSteps) / scoreSteps
}

// Sort puts hits into the order of an answer: by falling score, then by id.
func Sort(hits []api.Hit) {
	slices.SortFunc(hits, func(a, b api.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
}

func hash(text string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s@%d", text, version))
}
