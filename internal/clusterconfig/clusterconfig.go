// Package clusterconfig holds the rules of the configuration that tickets
// change: how a configuration is carried forward from one version to another
// and which tickets make sense against it. It is pure; control replicas and
// entry nodes use the same functions, so that both arrive at the same state.
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

// Apply returns cfg carried forward by d. It never changes cfg, and it never
// returns a version below that of cfg: a delta that brings nothing newer
// returns cfg as it is, so a late or repeated delta can't revert a
// configuration. It returns an error, and cfg, when d doesn't connect to cfg
// or is not made of one ticket per version.
func Apply(cfg api.Configuration, d api.ConfigDelta) (api.Configuration, error) {
	if d.To <= cfg.Version {
		return cfg, nil
	}
	if d.Whole != nil {
		return applyWhole(cfg, d)
	}
	if d.From > cfg.Version {
		return cfg, fmt.Errorf("delta starts at version %d, after version %d held", d.From, cfg.Version)
	}
	if uint64(len(d.Tickets)) != d.To-d.From {
		return cfg, fmt.Errorf("delta from version %d to %d holds %d tickets", d.From, d.To, len(d.Tickets))
	}
	missing := d.Tickets[cfg.Version-d.From:]
	return withTickets(cfg, missing), nil
}

// ApplyTicket returns cfg with one accepted ticket, at the next version. It
// does not validate the ticket; cfg is not changed.
func ApplyTicket(cfg api.Configuration, ticket api.Ticket) api.Configuration {
	return withTickets(cfg, []api.Ticket{ticket})
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

// withTickets copies each map at most once, and only those that change.
func withTickets(cfg api.Configuration, tickets []api.Ticket) api.Configuration {
	services := changed[api.Service]{current: cfg.Services}
	searchers := changed[api.Searcher]{current: cfg.Searchers}
	rules := changed[api.Rule]{current: cfg.Rules}
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

// changed is a map that is copied before its first change.
type changed[T any] struct {
	current map[string]T
	copied  bool
}

func (c *changed[T]) set(name string, value T) {
	c.copy()
	c.current[name] = value
}

func (c *changed[T]) remove(name string) {
	if _, ok := c.current[name]; !ok {
		return
	}
	c.copy()
	delete(c.current, name)
}

func (c *changed[T]) copy() {
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
