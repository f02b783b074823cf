package load

import (
	"fmt"
	"slices"
	"strings"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
)

// Verdict is the result of checking an answer.
type Verdict string

// Verdicts on an answer.
const (
	// Whole means that the answer is correct and covers every shard.
	Whole Verdict = "whole"
	// Partial means that the answer is correct for the shards that it covers and
	// lists the missing shards.
	Partial Verdict = "partial"
	// Mixed means that the answer contains hits of a snapshot other than the one
	// that it states.
	Mixed Verdict = "mixed snapshot"
	// Foreign means that the answer belongs to another request: it has another
	// request id, or hits that don't match the query.
	Foreign Verdict = "not the caller's own"
	// WrongCoverage means that the stated coverage is inconsistent or that the
	// hits are not those of the covered shards.
	WrongCoverage Verdict = "coverage untrue"
)

// Check compares an answer to the request with the given id with the answer that
// the catalogue expects. For verdicts other than Whole and Partial the returned
// text describes the difference.
func Check(c *catalogue.Catalogue, id string, request api.SearchRequest, answer *api.SearchAnswer) (Verdict, string) {
	if answer.RequestID != id {
		return Foreign, fmt.Sprintf("request %s got the answer of request %s", id, answer.RequestID)
	}
	if detail := checkHits(request.Query, answer); detail != "" {
		return Foreign, detail
	}
	if detail := checkVersions(answer); detail != "" {
		return Mixed, detail
	}
	if detail := checkCoverage(answer.Coverage); detail != "" {
		return WrongCoverage, detail
	}
	if detail := checkContent(c, request, answer); detail != "" {
		return WrongCoverage, detail
	}
	if answer.Coverage.Whole() {
		return Whole, ""
	}
	return Partial, ""
}

// checkHits returns a description of a hit that doesn't match the query, or "".
func checkHits(query string, answer *api.SearchAnswer) string {
	for _, hit := range answer.Hits {
		if !catalogue.ContainsWords(hit.Text, query) {
			return fmt.Sprintf("hit %s does not match %q", hit.ID, query)
		}
	}
	return ""
}

// checkVersions returns a description of a hit of another version or layout than
// the answer's, or "".
func checkVersions(answer *api.SearchAnswer) string {
	versionSuffix := fmt.Sprintf(" index-v%d", answer.Snapshot.Version)
	for _, hit := range answer.Hits {
		if !strings.HasSuffix(hit.Text, versionSuffix) {
			return fmt.Sprintf("hit %q in an answer of snapshot %s", hit.Text, answer.Snapshot)
		}
		if hit.Shard != catalogue.ShardOf(hit.ID, max(1, answer.Coverage.Shards)) {
			return fmt.Sprintf("hit %s of shard %d is of another layout than the answer's %d shards", hit.ID, hit.Shard, answer.Coverage.Shards)
		}
	}
	return ""
}

// checkCoverage returns a description of an inconsistency in a coverage, or "".
func checkCoverage(c api.Coverage) string {
	missing := make(map[api.ShardID]bool, len(c.Missing))
	for _, m := range c.Missing {
		missing[m.Shard] = true
	}
	if c.Shards < 1 || c.Answered+len(missing) != c.Shards || len(missing) != len(c.Missing) {
		return fmt.Sprintf("%d answered and %d missing of %d shards", c.Answered, len(c.Missing), c.Shards)
	}
	want := float64(c.Answered) / float64(c.Shards)
	if diff := c.Fraction - want; diff > 1e-9 || diff < -1e-9 {
		return fmt.Sprintf("fraction %g of %d in %d shards", c.Fraction, c.Answered, c.Shards)
	}
	return ""
}

// checkContent compares the hits with the expected hits of the covered shards. It
// returns a description of the difference, or "".
func checkContent(c *catalogue.Catalogue, request api.SearchRequest, answer *api.SearchAnswer) string {
	want := catalogue.ExpectedHits(c, answer.Coverage.Shards, answer.Snapshot.Version, request.Query)
	want = slices.DeleteFunc(want, func(hit api.Hit) bool { return isMissing(answer.Coverage, hit.Shard) })
	if answer.TotalHits != len(want) {
		return fmt.Sprintf("%d hits in total where the covered shards have %d", answer.TotalHits, len(want))
	}
	if request.Limit > 0 && len(want) > request.Limit {
		want = want[:request.Limit]
	}
	got := slices.Clone(answer.Hits)
	catalogue.SortHits(got)
	if !slices.Equal(got, want) {
		return fmt.Sprintf("%d hits that are not the %d of the covered shards", len(got), len(want))
	}
	return ""
}

func isMissing(c api.Coverage, shard api.ShardID) bool {
	return slices.ContainsFunc(c.Missing, func(m api.MissingShard) bool { return m.Shard == shard })
}
