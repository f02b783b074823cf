package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLoadEntryReadsSectionsAndPeers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	text := "[node]\nid = e1\ndata_centre = oeste\n[limits]\nmax_deadline = 5s\n[peer e2]\naddress = 127.0.0.1:9\ndata_centre = serra\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	got, err := LoadEntry(path)
	assert.NilError(t, err)
	assert.Equal(t, got.Node.DataCentre, "oeste")
	assert.Equal(t, got.Limits.MaxDeadline, 5*time.Second)
	assert.DeepEqual(t, got.Peers, []Peer{{ID: "e2", Address: "127.0.0.1:9", DataCentre: "serra"}})
}
