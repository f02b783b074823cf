package wal

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

// BenchmarkWrite measures writing and syncing batches of entries on a real disk,
// which is a lower bound on the latency of a commit.
func BenchmarkWrite(b *testing.B) {
	for _, size := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			log, _, err := Open(Options{
				FS: OS(), Folder: filepath.Join(b.TempDir(), "data"), Group: "g", Replica: "a",
				NewIncarnation: func() string { return "i" }, SegmentBytes: 16 << 20,
			})
			assert.NilError(b, err)
			next := uint64(1)
			for b.Loop() {
				entries := make([]replica.Entry, size)
				for i := range entries {
					entries[i] = entry(next, 1)
					next++
				}
				assert.NilError(b, log.Write([]replica.Persist{{Entries: entries}}))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
			assert.NilError(b, log.Close())
		})
	}
}
