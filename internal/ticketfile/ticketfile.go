// Package ticketfile reads an operator's ticket from an INI file.
//
// [ticket] holds the number and the operator. Each [service NAME],
// [searcher NAME] and [rule NAME] holds the whole new state of one object, or
// "removed = true" alone to remove it.
package ticketfile

import (
	"wigeonbay/internal/api"
	"wigeonbay/internal/inifile"
)

// file mirrors a ticket file.
type file struct {
	Ticket    head       `ini:"ticket"`
	Services  []service  `ini:"service"`
	Searchers []searcher `ini:"searcher"`
	Rules     []rule     `ini:"rule"`
}

type head struct {
	Number   uint64 `ini:"number" check:"positive"`
	Operator string `ini:"operator" check:"required"`
}

// A pointer is a number that must be given although 0 is a good value: a
// ticket carries the whole state, so a forgotten key must not become 0.
type service struct {
	Name             string   `ini:"-"`
	Removed          bool     `ini:"removed"`
	Prefer           string   `ini:"prefer" check:"oneof=deadline|coverage"`
	LeastCoverage    *float64 `ini:"least_coverage" check:"required,fraction"`
	DeadlineMS       int64    `ini:"deadline_ms" check:"positive"`
	ExtraLoadPercent *float64 `ini:"extra_load_percent" check:"required,percent"`
	MaxInFlight      int      `ini:"max_in_flight" check:"natural"`
}

type searcher struct {
	Name        string `ini:"-"`
	Removed     bool   `ini:"removed"`
	Service     string `ini:"service" check:"required"`
	Slots       int    `ini:"slots" check:"natural"`
	Connections int    `ini:"connections" check:"natural"`
	Drain       bool   `ini:"drain"`
}

type rule struct {
	Name    string   `ini:"-"`
	Removed bool     `ini:"removed"`
	Service string   `ini:"service" check:"required"`
	Caller  string   `ini:"caller"`
	To      string   `ini:"to" check:"required"`
	Percent *float64 `ini:"percent" check:"required,percent"`
}

// Load reads the ticket in the file at path. Every error is an
// *inifile.Error.
func Load(path string) (*api.Ticket, error) {
	var f file
	if err := inifile.Load(path, &f); err != nil {
		return nil, err
	}
	ticket := &api.Ticket{Number: f.Ticket.Number, Operator: f.Ticket.Operator}
	if err := takeRemovals(path, &f, ticket); err != nil {
		return nil, err
	}
	if err := inifile.Check(path, &f); err != nil {
		return nil, err
	}
	takeObjects(&f, ticket)
	if len(ticket.Services)+len(ticket.Searchers)+len(ticket.Rules)+len(ticket.Removals) == 0 {
		return nil, &inifile.Error{File: path, Detail: "the ticket touches no object"}
	}
	return ticket, nil
}

func takeObjects(f *file, ticket *api.Ticket) {
	for _, s := range f.Services {
		ticket.Services = append(ticket.Services, api.Service{
			Name:             s.Name,
			Prefer:           api.Prefer(s.Prefer),
			LeastCoverage:    *s.LeastCoverage,
			DeadlineMS:       s.DeadlineMS,
			ExtraLoadPercent: *s.ExtraLoadPercent,
			MaxInFlight:      s.MaxInFlight,
		})
	}
	for _, s := range f.Searchers {
		ticket.Searchers = append(ticket.Searchers, api.Searcher{
			Name:        s.Name,
			Service:     s.Service,
			Slots:       s.Slots,
			Connections: s.Connections,
			Drain:       s.Drain,
		})
	}
	for _, r := range f.Rules {
		ticket.Rules = append(ticket.Rules, api.Rule{
			Name:    r.Name,
			Service: r.Service,
			Caller:  r.Caller,
			To:      r.To,
			Percent: *r.Percent,
		})
	}
}
