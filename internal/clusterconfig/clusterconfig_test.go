package clusterconfig

import (
	"errors"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"wigeonbay/internal/api"
)

func service(name string) api.Service {
	return api.Service{Name: name, Prefer: api.PreferDeadline, LeastCoverage: 0.5}
}

func ticket(number uint64, change func(*api.Ticket)) api.Ticket {
	t := api.Ticket{Number: number, Operator: "ana"}
	change(&t)
	return t
}

func baseConfig() api.Configuration {
	return ApplyTicket(Empty(), ticket(1, func(t *api.Ticket) {
		t.Services = []api.Service{service("lots"), service("bids")}
		t.Searchers = []api.Searcher{{Name: "s1", Service: "lots"}}
		t.Rules = []api.Rule{{Name: "r1", Service: "bids", To: "lots", Percent: 50}}
	}))
}

// fault: delayed-replies x ticket
func TestApplyDelta(t *testing.T) {
	cfg := baseConfig()
	drain := ticket(2, func(t *api.Ticket) { t.Searchers = []api.Searcher{{Name: "s1", Service: "lots", Drain: true}} })
	remove := ticket(3, func(t *api.Ticket) { t.Removals = []api.ObjectRef{{Kind: api.KindRule, Name: "r1"}} })
	whole := ApplyTicket(ApplyTicket(cfg, drain), remove)

	for _, tc := range []struct {
		name    string
		delta   api.ConfigDelta
		version uint64
		fails   bool
	}{
		{name: "next ticket", delta: api.ConfigDelta{From: 1, To: 2, Tickets: []api.Ticket{drain}}, version: 2},
		{name: "overlap skips known versions", delta: api.ConfigDelta{From: 0, To: 2, Tickets: []api.Ticket{remove, drain}}, version: 2},
		{name: "whole configuration", delta: api.ConfigDelta{To: 3, Whole: &whole}, version: 3},
		{name: "same version", delta: api.ConfigDelta{From: 0, To: 1, Tickets: []api.Ticket{remove}}, version: 1},
		{name: "late delta", delta: api.ConfigDelta{From: 0, To: 0}, version: 1},
		{name: "late whole configuration", delta: api.ConfigDelta{To: 1, Whole: &api.Configuration{Version: 1}}, version: 1},
		{name: "gap", delta: api.ConfigDelta{From: 2, To: 3, Tickets: []api.Ticket{remove}}, version: 1, fails: true},
		{name: "too few tickets", delta: api.ConfigDelta{From: 1, To: 3, Tickets: []api.Ticket{drain}}, version: 1, fails: true},
		{name: "whole configuration of another version", delta: api.ConfigDelta{To: 9, Whole: &whole}, version: 1, fails: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, err := ApplyDelta(cfg, tc.delta)
			assert.Equal(t, err != nil, tc.fails, "%v", err)
			assert.Equal(t, next.Version, tc.version)
			assert.DeepEqual(t, cfg, baseConfig())
		})
	}
	stepped, err := ApplyDelta(cfg, api.ConfigDelta{From: 1, To: 3, Tickets: []api.Ticket{drain, remove}})
	assert.NilError(t, err)
	assert.DeepEqual(t, stepped, whole)
}

func TestValidate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*api.Ticket)
		want   string
	}{
		{name: "rule and service together", change: func(t *api.Ticket) {
			t.Services = []api.Service{service("new")}
			t.Rules = []api.Rule{{Name: "r2", Service: "lots", To: "new", Percent: 100}}
		}},
		{name: "service and its referrers removed together", change: func(t *api.Ticket) {
			t.Removals = []api.ObjectRef{{Kind: api.KindService, Name: "bids"}, {Kind: api.KindRule, Name: "r1"}}
		}},
		{name: "removal of an unknown object", change: func(t *api.Ticket) {
			t.Removals = []api.ObjectRef{{Kind: api.KindSearcher, Name: "nobody"}}
		}},
		{name: "no number", change: func(t *api.Ticket) { t.Number = 0 }, want: "number"},
		{name: "no object", change: func(*api.Ticket) {}, want: "touches no object"},
		{name: "object set and removed", change: func(t *api.Ticket) {
			t.Services = []api.Service{service("lots")}
			t.Removals = []api.ObjectRef{{Kind: api.KindService, Name: "lots"}}
		}, want: "twice"},
		{name: "unknown kind", change: func(t *api.Ticket) { t.Removals = []api.ObjectRef{{Kind: "shelf", Name: "a"}} }, want: "unknown kind"},
		{name: "unknown prefer", change: func(t *api.Ticket) { t.Services = []api.Service{{Name: "a", Prefer: "speed"}} }, want: "prefer"},
		{name: "coverage above 1", change: func(t *api.Ticket) {
			t.Services = []api.Service{{Name: "a", Prefer: api.PreferCoverage, LeastCoverage: 1.5}}
		}, want: "least coverage"},
		{name: "coverage not a number", change: func(t *api.Ticket) {
			t.Services = []api.Service{{Name: "a", Prefer: api.PreferCoverage, LeastCoverage: math.NaN()}}
		}, want: "least coverage"},
		{name: "percent above 100", change: func(t *api.Ticket) {
			t.Rules = []api.Rule{{Name: "r", Service: "lots", To: "bids", Percent: 101}}
		}, want: "percent"},
		{name: "searcher of an unknown service", change: func(t *api.Ticket) {
			t.Searchers = []api.Searcher{{Name: "s2", Service: "ghost"}}
		}, want: `service "ghost"`},
		{name: "rule to an unknown service", change: func(t *api.Ticket) {
			t.Rules = []api.Rule{{Name: "r", Service: "lots", To: "ghost"}}
		}, want: `service "ghost"`},
		{name: "removal of a service in use", change: func(t *api.Ticket) {
			t.Removals = []api.ObjectRef{{Kind: api.KindService, Name: "lots"}}
		}, want: `rule "r1" still refers`},
		{name: "searcher of a service that is removed", change: func(t *api.Ticket) {
			t.Searchers = []api.Searcher{{Name: "s1", Service: "bids"}}
			t.Removals = []api.ObjectRef{{Kind: api.KindService, Name: "bids"}, {Kind: api.KindRule, Name: "r1"}}
		}, want: "doesn't exist"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Validate(baseConfig(), ticket(2, tc.change))
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Check(t, errors.Is(err, ErrInvalid))
			assert.Check(t, cmp.ErrorContains(err, tc.want))
		})
	}
}
