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

// ContentHash is a hash of the change that a ticket makes: the new state of each
// object that it touches, regardless of the order in which they are listed. The
// operator is not part of it: the same change under the same number is the same
// ticket.
type ContentHash [sha256.Size]byte

// HashContent returns the hash of a ticket's content.
func HashContent(ticket api.Ticket) ContentHash {
	canonical := api.Ticket{
		Services:  sortedByName(ticket.Services, func(s api.Service) string { return s.Name }),
		Searchers: sortedByName(ticket.Searchers, func(s api.Searcher) string { return s.Name }),
		Rules:     sortedByName(ticket.Rules, func(r api.Rule) string { return r.Name }),
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
		panic(fmt.Sprintf("encode ticket %d: %v", ticket.Number, err))
	}
	return sha256.Sum256(encoded)
}

// sortedByName returns a copy of the objects sorted by name, or nil if there
// are none, so that empty and nil lists have the same hash.
func sortedByName[T any](objects []T, name func(T) string) []T {
	if len(objects) == 0 {
		return nil
	}
	ordered := slices.Clone(objects)
	slices.SortStableFunc(ordered, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return ordered
}
