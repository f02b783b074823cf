package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// mistake is a good file with one piece replaced, and the message expected
// after the file's name.
type mistake struct {
	name, old, new, want string
}

func TestLoadEntryRefusesMistakes(t *testing.T) {
	load := func(path string) error { _, err := LoadEntry(path); return err }
	checkMistakes(t, goodEntry, load, []mistake{
		{"unknown section", "[limits]", "[limit]",
			"[limit] unknown section; known sections: [node], [listen], [tls], [telemetry], [testing], [limits], [discovery], [forward], [runtime], [control NAME], [peer NAME]"},
		{"unknown key", "max_deadline = 5s", "max_deadlin = 5s",
			"[limits] max_deadlin: unknown key; known keys: body_bytes, max_deadline, drain_time, policy"},
		{"key in capitals", "id = e1", "ID = e1",
			"[node] ID: unknown key; known keys: id, data_centre, region"},
		{"key outside any section", "# An entry node.", "id = e1",
			"id: unknown key; known keys: none"},
		{"line without a value", "id = e1", "id", "key-value delimiter not found: id"},
		{"key given twice", "id = e1", "id = e1\nid = e1", "[node] id: duplicate key"},
		{"section given twice", "[limits]", "[node]", "[node] duplicate section"},
		{"text after a section", "[limits]", "[limits] body_bytes = 3",
			`[limits] unexpected text "body_bytes = 3" after the section header`},
		{"bad duration", "5s", "5", `[limits] max_deadline: "5" isn't a duration, such as 250ms or 2s`},
		{"bad number", "max_deadline = 5s", "body_bytes = 1e6",
			`[limits] body_bytes: "1e6" isn't a whole number in range`},
		{"bad bool", "[limits]", "[tls]\ninsecure = yes\n[limits]",
			`[tls] insecure: "yes" is neither true nor false`},
		{"zero deadline", "5s", "0s", "[limits] max_deadline: must be above 0"},
		{"unknown policy", "max_deadline = 5s", "policy = best",
			`[limits] policy: "best" isn't one of shipped, baseline`},
		{"name instead of an address", "127.0.0.1:8081", "localhost:8081",
			`[listen] operators: "localhost:8081" isn't IP:port; names are not looked up`},
		{"address without a port", "127.0.0.1:8081", "127.0.0.1",
			`[listen] operators: "127.0.0.1" isn't IP:port; names are not looked up`},
		{"missing data centre", "data_centre = \"oeste\"\n", "", "[node] data_centre: is missing"},
		{"peer without a data centre", "data_centre = serra\n", "", "[peer e2] data_centre: is missing"},
		{"unbalanced quotes", `"oeste"`, `"oeste`, `[node] data_centre: unbalanced quotes in "oeste`},
		{"value over two lines", `"oeste"`, "`oeste\n`", "[node] data_centre: the value spans more than one line"},
		{"comment after a tab", "id = e1", "id = e1\t# first",
			"[node] id: a comment after a value must follow a space, not a tab"},
		{"two VMs with one address", "127.0.0.1:9\n", "127.0.0.1:7001\n",
			"[peer e2] address: 127.0.0.1:7001 is the address of [control c1] already"},
		{"peer with the node's own address", "127.0.0.1:9\n", "127.0.0.1:8082\n",
			"[peer e2] address: 127.0.0.1:8082 is the address of [listen] peers already"},
		{"two VMs with one id", "[peer e2]", "[peer e2]\naddress = 127.0.0.1:10\ndata_centre = x\n[peer  e2]",
			"[peer e2] duplicate section"},
		{"peer with the node's own id", "[peer e2]", "[peer e1]", "[peer e1] has this node's own id"},
		{"peer that can't be dialled", "127.0.0.1:9\n", "0.0.0.0:9\n",
			"[peer e2] address: 0.0.0.0:9 can't be connected to"},
		{"TLS in part", "[limits]", "[tls]\ncertificate = mistakes_test.go\n[limits]",
			"[tls] key: is missing: certificate, key and authority go together"},
		{"TLS file missing", "[limits]", "[tls]\ncertificate = none.pem\nkey = none.key\nauthority = ca.pem\n[limits]",
			"[tls] certificate: file none.pem can't be read"},
		{"TLS and insecure", "[limits]",
			"[tls]\ncertificate = check.go\nkey = check.go\nauthority = check.go\ninsecure = true\n[limits]",
			"[tls] insecure: contradicts the certificates named beside it"},
		{"operators' listener in the open", "127.0.0.1:8081", "10.0.0.1:8081",
			"[listen] operators: 10.0.0.1:8081 isn't a loopback address: name certificates in [tls], or set insecure = true there"},
		{"peers' listener on every address", "127.0.0.1:8082", "0.0.0.0:8082",
			"[listen] peers: 0.0.0.0:8082 isn't a loopback address: name certificates in [tls], or set insecure = true there"},
	})
}

func TestLoadControlRefusesMistakes(t *testing.T) {
	load := func(path string) error { _, err := LoadControl(path); return err }
	checkMistakes(t, goodControl, load, []mistake{
		{"no data folder", "folder = data\n", "", "[storage] folder: is missing"},
		{"name to be reached under", "operators =", "advertised = c1.example:7001\noperators =",
			`[listen] advertised: "c1.example:7001" isn't IP:port`},
		{"group of others", "[member c1]", "[member c2]",
			"[member c1] is missing: the members must include this process, unless join = true"},
		{"short election timeout", "[storage]", "[replication]\nelection_timeout = 100ms\n[storage]",
			"[replication] election_timeout: must be at least 3 heartbeats"},
		{"two members with one address", "[storage]", "[member c2]\naddress = 127.0.0.1:7001\ndata_centre = serra\n[storage]",
			"[member c1] address: 127.0.0.1:7001 is the address of [member c2] already"},
	})
}

func TestLoadSearcherRefusesMistakes(t *testing.T) {
	load := func(path string) error { _, err := LoadSearcher(path); return err }
	checkMistakes(t, goodSearcher, load, []mistake{
		{"empty item in a list", ", 127.0.0.1:8090", ",", "announce: the list contains an empty address"},
		{"nobody to announce to", "announce = 127.0.0.1:8080, 127.0.0.1:8090\n", "", "announce: is missing"},
		{"unknown catalogue", "lots", "logs", `[target salao-1] catalogue: "logs" isn't one of lots, declarations`},
		{"shard outside the layout", "0-2,5", "0-6", "[target salao-1] shards: shard 6 is outside the layout of 6 shards"},
		{"bad shard list", "0-2,5", "3-1", `[target salao-1] shards: "3-1" is neither a shard nor a range of shards such as 0-3`},
	})
}

func TestLoadCtlRefusesMistakes(t *testing.T) {
	load := func(path string) error { _, err := LoadCtl(path); return err }
	checkMistakes(t, goodCtl, load, []mistake{
		{"two VMs with one address", "127.0.0.1:8081", "127.0.0.1:7001",
			"[entry e1] operators: 127.0.0.1:7001 is the address of [control c1] already"},
		{"entry without an address", "operators = 127.0.0.1:8081\n", "", "[entry e1] operators: is missing"},
	})
}

func TestLoadNamesAFileThatCannotBeRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	_, err := LoadEntry(path)
	assert.Error(t, err, path+": can't be read: no such file or directory")
	assert.Check(t, isError(err))
}

func checkMistakes(t *testing.T, good string, load func(string) error, mistakes []mistake) {
	t.Helper()
	for _, m := range mistakes {
		t.Run(m.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(good, m.old))
			path := write(t, strings.Replace(good, m.old, m.new, 1))
			err := load(path)
			assert.Error(t, err, path+": "+m.want)
			assert.Check(t, isError(err), "%T", err)
		})
	}
}

func isError(err error) bool {
	_, ok := err.(*Error)
	return ok
}
