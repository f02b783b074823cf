package gather

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTopRecordsReturnsGreatestInDescendingOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 50 {
		var replies [][]byte
		var all [][]byte
		for range random.IntN(6) {
			var reply []byte
			for range random.IntN(40) {
				record := make([]byte, RecordBytes)
				for i := range record {
					record[i] = byte(random.IntN(3))
				}
				reply = append(reply, record...)
				all = append(all, record)
			}
			// An incomplete record at the end must be ignored.
			replies = append(replies, append(reply, make([]byte, random.IntN(RecordBytes))...))
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		k := 1 + random.IntN(25)
		want := bytes.Join(all[:min(k, len(all))], nil)
		assert.Assert(t, bytes.Equal(TopRecords(replies, k), want), "round %d", round)
	}
}

// TestTopRecordsOfALargeTableSetting guards against a node that ends when a routing table
// asks for more records than its memory holds.
func TestTopRecordsOfALargeTableSetting(t *testing.T) {
	smaller, greater := bytes.Repeat([]byte{1}, RecordBytes), bytes.Repeat([]byte{2}, RecordBytes)
	for _, k := range []int{math.MaxInt, math.MaxInt32} {
		top := TopRecords([][]byte{smaller, greater}, k)
		assert.DeepEqual(t, top, append(append([]byte(nil), greater...), smaller...))
	}
	assert.Equal(t, len(TopRecords(nil, math.MaxInt)), 0)
}
