package ticketfile

import (
	"wigeonbay/internal/api"
	"wigeonbay/internal/inifile"
)

// extractRemovals moves the sections with removed = true from f to the removals of
// ticket. It runs before validation, because a removed object has no state to
// validate.
func extractRemovals(path string, f *ticketFile, ticket *api.Ticket) error {
	var err error
	f.Services, err = extractRemoved(path, api.KindService, f.Services, func(s serviceSection) (string, bool, bool) {
		return s.Name, s.Removed, s == serviceSection{Name: s.Name, Removed: true}
	}, ticket)
	if err != nil {
		return err
	}
	f.Searchers, err = extractRemoved(path, api.KindSearcher, f.Searchers, func(s searcherSection) (string, bool, bool) {
		return s.Name, s.Removed, s == searcherSection{Name: s.Name, Removed: true}
	}, ticket)
	if err != nil {
		return err
	}
	f.Rules, err = extractRemoved(path, api.KindRule, f.Rules, func(r ruleSection) (string, bool, bool) {
		return r.Name, r.Removed, r == ruleSection{Name: r.Name, Removed: true}
	}, ticket)
	return err
}

// extractRemoved adds the removed objects to the ticket's removals and returns the
// others. inspect returns an object's name, whether it is removed, and whether its
// section has no other key with a value other than zero.
func extractRemoved[T any](path string, kind api.ObjectKind, objects []T, inspect func(T) (name string, removed, onlyRemoved bool), ticket *api.Ticket) ([]T, error) {
	var kept []T
	for _, object := range objects {
		name, removed, onlyRemoved := inspect(object)
		if !removed {
			kept = append(kept, object)
			continue
		}
		if !onlyRemoved {
			return nil, &inifile.Error{File: path, Section: string(kind) + " " + name, Key: "removed",
				Detail: "a removed object can't have other keys"}
		}
		ticket.Removals = append(ticket.Removals, api.ObjectRef{Kind: kind, Name: name})
	}
	return kept, nil
}
