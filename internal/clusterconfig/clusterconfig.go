// Package clusterconfig implements the rules of the configuration that tickets
// change: how tickets and deltas are applied to it and which tickets are valid.
// It also validates routing tables. The package does no I/O. Control replicas
// and entry nodes use the same functions, so that both compute the same state.
package clusterconfig

import (
	"fmt"
	"maps"

	"wigeonbay/internal/api"
)

// Empty returns the configuration of version 0, before the first ticket.
func Empty() api.Configuration {
	return api.Configuration{
		Services:  map[string]api.Service{},
		Searchers: map[string]api.Searcher{},
		Rules:     map[string]api.Rule{},
	}
}

// ApplyDelta returns cfg updated by d. It never modifies cfg and never returns
// a lower version than that of cfg: it ignores a delta without newer versions,
// so that a late or repeated delta cannot revert a configuration. It returns
// cfg and an error if d starts after the version of cfg, does not hold one
// ticket per version, or holds a whole configuration of another version than
// d.To.
func ApplyDelta(cfg api.Configuration, d api.ConfigDelta) (api.Configuration, error) {
	if d.To <= cfg.Version {
		return cfg, nil
	}
	if d.Whole != nil {
		return applyWhole(cfg, d)
	}
	if d.From > cfg.Version {
		return cfg, fmt.Errorf("delta starts at version %d, after the current version %d", d.From, cfg.Version)
	}
	if uint64(len(d.Tickets)) != d.To-d.From {
		return cfg, fmt.Errorf("delta from version %d to %d holds %d tickets", d.From, d.To, len(d.Tickets))
	}
	missing := d.Tickets[cfg.Version-d.From:]
	return applyTickets(cfg, missing), nil
}

// ApplyTicket returns cfg with an accepted ticket applied, at the next version.
// It does not validate the ticket and does not modify cfg.
func ApplyTicket(cfg api.Configuration, ticket api.Ticket) api.Configuration {
	return applyTickets(cfg, []api.Ticket{ticket})
}

func applyWhole(cfg api.Configuration, d api.ConfigDelta) (api.Configuration, error) {
	if d.Whole.Version != d.To {
		return cfg, fmt.Errorf("delta to version %d holds the configuration of version %d", d.To, d.Whole.Version)
	}
	next := api.Configuration{
		Version:   d.Whole.Version,
		Services:  cloneOrEmpty(d.Whole.Services),
		Searchers: cloneOrEmpty(d.Whole.Searchers),
		Rules:     cloneOrEmpty(d.Whole.Rules),
	}
	return next, nil
}

// applyTickets applies tickets in order. It copies each map at most once, and
// only those that change.
func applyTickets(cfg api.Configuration, tickets []api.Ticket) api.Configuration {
	services := copyOnWriteMap[api.Service]{current: cfg.Services}
	searchers := copyOnWriteMap[api.Searcher]{current: cfg.Searchers}
	rules := copyOnWriteMap[api.Rule]{current: cfg.Rules}
	for _, ticket := range tickets {
		for _, s := range ticket.Services {
			services.set(s.Name, s)
		}
		for _, s := range ticket.Searchers {
			searchers.set(s.Name, s)
		}
		for _, r := range ticket.Rules {
			rules.set(r.Name, r)
		}
		for _, removal := range ticket.Removals {
			switch removal.Kind {
			case api.KindService:
				services.remove(removal.Name)
			case api.KindSearcher:
				searchers.remove(removal.Name)
			case api.KindRule:
				rules.remove(removal.Name)
			}
		}
	}
	return api.Configuration{
		Version:   cfg.Version + uint64(len(tickets)),
		Services:  services.current,
		Searchers: searchers.current,
		Rules:     rules.current,
	}
}

// copyOnWriteMap is a map that is copied before its first modification.
type copyOnWriteMap[T any] struct {
	current map[string]T
	copied  bool
}

func (c *copyOnWriteMap[T]) set(name string, value T) {
	c.ensureCopied()
	c.current[name] = value
}

func (c *copyOnWriteMap[T]) remove(name string) {
	if _, ok := c.current[name]; !ok {
		return
	}
	c.ensureCopied()
	delete(c.current, name)
}

func (c *copyOnWriteMap[T]) ensureCopied() {
	if c.copied {
		return
	}
	c.current = cloneOrEmpty(c.current)
	c.copied = true
}

func cloneOrEmpty[T any](m map[string]T) map[string]T {
	if m == nil {
		return map[string]T{}
	}
	return maps.Clone(m)
}
