package ticketfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

const validTicket = `[ticket]
number = 7
operator = ana
[service salao]
prefer = deadline
least_coverage = 0.9
deadline_ms = 250
extra_load_percent = 2
[searcher salao-1]
service = salao
drain = true
[rule night]
service = salao
to = patio
percent = 12.5
[service old]
removed = true
`

func writeTicketFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ticket.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadReadsEveryKindOfObject(t *testing.T) {
	got, err := Load(writeTicketFile(t, validTicket))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, &api.Ticket{
		Number:    7,
		Operator:  "ana",
		Services:  []api.Service{{Name: "salao", Prefer: api.PreferDeadline, LeastCoverage: 0.9, DeadlineMS: 250, ExtraLoadPercent: 2}},
		Searchers: []api.Searcher{{Name: "salao-1", Service: "salao", Drain: true}},
		Rules:     []api.Rule{{Name: "night", Service: "salao", To: "patio", Percent: 12.5}},
		Removals:  []api.ObjectRef{{Kind: api.KindService, Name: "old"}},
	})
}

func TestLoadRejectsInvalidTickets(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"no number", "number = 7\n", "", "[ticket] number: must be above 0"},
		{"negative number", "= 7", "= -7", `[ticket] number: "-7" isn't a whole number from 0 in range`},
		{"no operator", "operator = ana\n", "", "[ticket] operator: is missing"},
		{"unknown key", "drain", "drained", "[searcher salao-1] drained: unknown key; known keys: removed, service, slots, connections, drain"},
		{"unknown kind", "[rule", "[route", "[route night] unknown section; known sections: [ticket], [service NAME], [searcher NAME], [rule NAME]"},
		{"object without a name", "[rule night]", "[rule]", "[rule] unknown section; known sections: [ticket], [service NAME], [searcher NAME], [rule NAME]"},
		{"no deadline", "deadline_ms = 250\n", "", "[service salao] deadline_ms: must be above 0"},
		{"no coverage", "least_coverage = 0.9\n", "", "[service salao] least_coverage: is missing"},
		{"no percentage", "percent = 12.5\n", "", "[rule night] percent: is missing"},
		{"coverage above 1", "0.9", "90", "[service salao] least_coverage: 90 isn't between 0 and 1"},
		{"coverage not a number", "0.9", "NaN", `[service salao] least_coverage: "NaN" isn't a number`},
		{"unknown preference", "prefer = deadline", "prefer = speed", `[service salao] prefer: "speed" isn't one of deadline, coverage`},
		{"negative slots", "drain = true", "slots = -1", "[searcher salao-1] slots: must not be negative"},
		{"rule without a destination", "to = patio\n", "", "[rule night] to: is missing"},
		{"removed with other keys", "removed = true", "removed = true\nprefer = coverage", "[service old] removed: a removed object can't have other keys"},
		{"duplicate object", "[service old]\nremoved = true", "[service salao]\nremoved = true", "[service salao] duplicate section"},
		{"no object", validTicket[strings.Index(validTicket, "[service salao]"):], "", "the ticket changes no object"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validTicket, tc.old))
			path := writeTicketFile(t, strings.Replace(validTicket, tc.old, tc.new, 1))
			_, err := Load(path)
			assert.Error(t, err, path+": "+tc.want)
		})
	}
}
