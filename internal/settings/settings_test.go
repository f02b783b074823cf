package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validEntry = `# An entry node.
[node]
id = e1
data_centre = "oeste"
[listen]
callers = 127.0.0.1:8080 ; for the balancer
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082
[limits]
max_deadline = 5s
[control c1]
address = 127.0.0.1:7001
data_centre = oeste
[peer e2]
address = 127.0.0.1:9
data_centre = serra
`

const validControl = `[node]
id = c1
data_centre = oeste
[listen]
peers = 127.0.0.1:7001
operators = 127.0.0.1:7002
[storage]
folder = data
[member c1]
address = 127.0.0.1:7001
data_centre = oeste
`

const validSearcher = `announce = 127.0.0.1:8080, 127.0.0.1:8090
[node]
id = s
data_centre = oeste
[target salao-1]
service = salao
listen = 127.0.0.1:9001
catalogue = lots
layout_shards = 6
shards = 0-2,5
version = 1
slots = 3
connections = 30
lease = 2s
`

const validCtl = `[control c1]
address = 127.0.0.1:7001
data_centre = oeste
[entry e1]
operators = 127.0.0.1:8081
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadEntry(t *testing.T) {
	got, err := LoadEntry(writeSettings(t, validEntry))
	assert.NilError(t, err)
	assert.Equal(t, got.Node.DataCentre, "oeste")
	assert.Equal(t, got.Listen.Callers, "127.0.0.1:8080")
	assert.Equal(t, got.Limits.MaxDeadline, 5*time.Second)
	assert.DeepEqual(t, got.Peers, []Peer{{ID: "e2", Address: "127.0.0.1:9", DataCentre: "serra"}})
}

func TestLoadValidFiles(t *testing.T) {
	_, err := LoadControl(writeSettings(t, validControl))
	assert.NilError(t, err)
	searcher, err := LoadSearcher(writeSettings(t, validSearcher))
	assert.NilError(t, err)
	assert.DeepEqual(t, searcher.Announce, []string{"127.0.0.1:8080", "127.0.0.1:8090"})
	ctl, err := LoadCtl(writeSettings(t, validCtl))
	assert.NilError(t, err)
	assert.DeepEqual(t, ctl.Entries, []EntryAddress{{ID: "e1", Operators: "127.0.0.1:8081"}})
}

func TestParseShards(t *testing.T) {
	got, err := ParseShards("5, 0-2", 6)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []int{0, 1, 2, 5})
}
