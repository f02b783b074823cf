package tickets

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
)

// Content identifies what a ticket asks for: the new state of each object that
// it touches, whatever the order in which they are listed. The operator is not
// part of it: the same change under the same number is the same ticket.
type Content [sha256.Size]byte

// ContentOf returns the identity of a ticket's content.
func ContentOf(ticket api.Ticket) Content {
	canonical := api.Ticket{
		Services:  sorted(ticket.Services, func(s api.Service) string { return s.Name }),
		Searchers: sorted(ticket.Searchers, func(s api.Searcher) string { return s.Name }),
		Rules:     sorted(ticket.Rules, func(r api.Rule) string { return r.Name }),
		Removals:  slices.Clone(ticket.Removals),
	}
	slices.SortFunc(canonical.Removals, func(a, b api.ObjectRef) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
	if len(canonical.Removals) == 0 {
		canonical.Removals = nil
	}
	encoded, err := msgpack.Marshal(canonical)
	if err != nil {
		panic(fmt.Sprintf("ticket %d can't be encoded: %v", ticket.Number, err))
	}
	return sha256.Sum256(encoded)
}

// sorted returns the objects in the order of their names; nil for none, so
// that an empty list and a missing one are the same content.
func sorted[T any](objects []T, name func(T) string) []T {
	if len(objects) == 0 {
		return nil
	}
	ordered := slices.Clone(objects)
	slices.SortStableFunc(ordered, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return ordered
}
