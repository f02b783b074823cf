//go:build faults

package faults

import (
	"math"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// checkTimeout bounds the search for a linearization.
const checkTimeout = 30 * time.Second

// history collects operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	began      time.Time
	operations []porcupine.Operation
	unknown    int
}

func newHistory() *history { return &history{began: time.Now()} }

func (h *history) now() int64 { return int64(time.Since(h.began)) }

// add records an operation and its output. A nil output means that the outcome is
// unknown: the operation may take effect at any later time or never.
func (h *history) add(client int, input any, called int64, output any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := h.now()
	if output == nil {
		returned = math.MaxInt64
		h.unknown++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: called, Output: output, Return: returned,
	})
}

// check fails the test unless the history is shown to be linearizable within
// checkTimeout. On failure it writes a visualization to the artifact folder.
func (h *history) check(t *testing.T, model porcupine.Model) {
	t.Helper()
	h.separateUnknown()
	result, info := porcupine.CheckOperationsVerbose(model, h.operations, checkTimeout)
	t.Logf("%d operations, %d of them with an unknown outcome: %s", len(h.operations), h.unknown, result)
	if result == porcupine.Ok {
		return
	}
	page := filepath.Join(t.ArtifactDir(), "history.html")
	assert.Check(t, porcupine.VisualizePath(model, info, page))
	t.Fatalf("history is not shown to be linearizable: %s; see %s", result, page)
}

// separateUnknown gives each operation with an unknown outcome its own client ID:
// such an operation never returns, while its client went on to other operations.
func (h *history) separateUnknown() {
	next := 1000
	for i := range h.operations {
		if h.operations[i].Output == nil {
			h.operations[i].ClientId = next
			next++
		}
	}
}
