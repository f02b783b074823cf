package ticketfile

import (
	"wigeonbay/internal/api"
	"wigeonbay/internal/inifile"
)

// takeRemovals moves the sections with removed = true from f to ticket, before
// the rest is checked: a removed object has no state to check.
func takeRemovals(path string, f *file, ticket *api.Ticket) error {
	var err error
	f.Services, err = split(path, api.KindService, f.Services, func(s service) (string, bool, bool) {
		return s.Name, s.Removed, s == service{Name: s.Name, Removed: true}
	}, ticket)
	if err != nil {
		return err
	}
	f.Searchers, err = split(path, api.KindSearcher, f.Searchers, func(s searcher) (string, bool, bool) {
		return s.Name, s.Removed, s == searcher{Name: s.Name, Removed: true}
	}, ticket)
	if err != nil {
		return err
	}
	f.Rules, err = split(path, api.KindRule, f.Rules, func(r rule) (string, bool, bool) {
		return r.Name, r.Removed, r == rule{Name: r.Name, Removed: true}
	}, ticket)
	return err
}

// split returns the objects that stay. inspect tells an object's name, whether
// it is removed, and whether that is all that its section says.
func split[T any](path string, kind api.ObjectKind, list []T, inspect func(T) (name string, removed, bare bool), ticket *api.Ticket) ([]T, error) {
	var stay []T
	for _, object := range list {
		name, removed, bare := inspect(object)
		if !removed {
			stay = append(stay, object)
			continue
		}
		if !bare {
			return nil, &inifile.Error{File: path, Section: string(kind) + " " + name, Key: "removed",
				Detail: "an object that is removed can't have a state besides"}
		}
		ticket.Removals = append(ticket.Removals, api.ObjectRef{Kind: kind, Name: name})
	}
	return stay, nil
}
