package catalogue

import (
	"testing"

	"wigeonbay/internal/api"

	"gotest.tools/v3/assert"
)

func TestGenerationIsDeterministic(t *testing.T) {
	for _, name := range []string{Lots, Declarations} {
		t.Run(name, func(t *testing.T) {
			a, err := NewSized(name, 300)
			assert.NilError(t, err)
			b, err := NewSized(name, 300)
			assert.NilError(t, err)
			for _, query := range a.Queries(20, 1) {
				assert.DeepEqual(t, ExpectedHits(a, 4, 3, query), ExpectedHits(b, 4, 3, query))
			}
		})
	}
	_, err := New("hats")
	assert.ErrorContains(t, err, "hats")
}

func TestShardHitsMergeToExpectedHits(t *testing.T) {
	c, err := NewSized(Declarations, 500)
	assert.NilError(t, err)
	for _, query := range c.Queries(20, 2) {
		var hits []api.Hit
		for shard := range api.ShardID(7) {
			hits = append(hits, c.Search(7, 2, shard, query)...)
		}
		SortHits(hits)
		assert.DeepEqual(t, hits, ExpectedHits(c, 7, 2, query))
		for _, hit := range hits {
			assert.Assert(t, ContainsWords(hit.Text, query))
			assert.Equal(t, hit.Shard, ShardOf(hit.ID, 7))
		}
	}
}

func TestHitsDifferBetweenVersions(t *testing.T) {
	c, err := NewSized(Lots, 500)
	assert.NilError(t, err)
	compared := 0
	for _, query := range c.Queries(50, 3) {
		otherVersion := map[api.Hit]bool{}
		for _, hit := range ExpectedHits(c, 4, 2, query) {
			otherVersion[hit] = true
		}
		for _, hit := range ExpectedHits(c, 4, 1, query) {
			compared++
			assert.Assert(t, !otherVersion[hit], "hit %v is in both versions", hit)
		}
	}
	assert.Assert(t, compared > 0)
}

func TestLayoutChangesOnlyShardAssignment(t *testing.T) {
	c, err := NewSized(Lots, 500)
	assert.NilError(t, err)
	for _, query := range c.Queries(20, 4) {
		four, eight := ExpectedHits(c, 4, 1, query), ExpectedHits(c, 8, 1, query)
		assert.Equal(t, len(four), len(eight))
		for i := range four {
			assert.Equal(t, four[i].Text, eight[i].Text)
		}
	}
}

func TestQueryWithoutIndexedWordsHasNoHits(t *testing.T) {
	c, err := NewSized(Lots, 50)
	assert.NilError(t, err)
	for _, query := range []string{"", "  ", "unheardof"} {
		assert.Equal(t, len(ExpectedHits(c, 3, 1, query)), 0, "query %q", query)
	}
}
