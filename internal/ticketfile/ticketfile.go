// Package ticketfile reads operators' tickets from INI files and writes a
// configuration in the same format.
//
// The section [ticket] holds the number and the operator. Each section
// [service NAME], [searcher NAME] and [rule NAME] holds the complete new state of
// one object, or only "removed = true" to remove it.
package ticketfile

import (
	"wigeonbay/internal/api"
	"wigeonbay/internal/inifile"
)

// ticketFile is the schema of a ticket file.
type ticketFile struct {
	Ticket    ticketSection     `ini:"ticket"`
	Services  []serviceSection  `ini:"service"`
	Searchers []searcherSection `ini:"searcher"`
	Rules     []ruleSection     `ini:"rule"`
}

type ticketSection struct {
	Number   uint64 `ini:"number" check:"positive"`
	Operator string `ini:"operator" check:"required"`
}

// serviceSection is a [service NAME] section. A ticket carries the complete state,
// so a missing key must not be read as 0: required numbers for which 0 is valid are
// pointers, here and in ruleSection.
type serviceSection struct {
	Name             string   `ini:"-"`
	Removed          bool     `ini:"removed"`
	Prefer           string   `ini:"prefer" check:"oneof=deadline|coverage"`
	LeastCoverage    *float64 `ini:"least_coverage" check:"required,fraction"`
	DeadlineMS       int64    `ini:"deadline_ms" check:"positive"`
	ExtraLoadPercent *float64 `ini:"extra_load_percent" check:"required,percent"`
	MaxInFlight      int      `ini:"max_in_flight" check:"natural"`
}

type searcherSection struct {
	Name        string `ini:"-"`
	Removed     bool   `ini:"removed"`
	Service     string `ini:"service" check:"required"`
	Slots       int    `ini:"slots" check:"natural"`
	Connections int    `ini:"connections" check:"natural"`
	Drain       bool   `ini:"drain"`
}

type ruleSection struct {
	Name    string   `ini:"-"`
	Removed bool     `ini:"removed"`
	Service string   `ini:"service" check:"required"`
	Caller  string   `ini:"caller"`
	To      string   `ini:"to" check:"required"`
	Percent *float64 `ini:"percent" check:"required,percent"`
}

// Load reads and validates the ticket in the file at path. Every error is an
// *inifile.Error.
func Load(path string) (*api.Ticket, error) {
	var f ticketFile
	if err := inifile.Load(path, &f); err != nil {
		return nil, err
	}
	ticket := &api.Ticket{Number: f.Ticket.Number, Operator: f.Ticket.Operator}
	if err := extractRemovals(path, &f, ticket); err != nil {
		return nil, err
	}
	if err := inifile.Check(path, &f); err != nil {
		return nil, err
	}
	addObjects(&f, ticket)
	if len(ticket.Services)+len(ticket.Searchers)+len(ticket.Rules)+len(ticket.Removals) == 0 {
		return nil, &inifile.Error{File: path, Detail: "the ticket changes no object"}
	}
	return ticket, nil
}

// addObjects appends the validated objects of f to ticket.
func addObjects(f *ticketFile, ticket *api.Ticket) {
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
