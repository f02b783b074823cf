package tickets

import (
	"cmp"
	"slices"
	"strings"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// MarkImage is the last ticket of one object in an Image.
type MarkImage struct {
	Object   api.ObjectRef
	Number   uint64
	Operator string
}

// NumberImage is the record of one accepted number in an Image.
type NumberImage struct {
	Number   uint64
	Content  ContentHash
	Operator string
	Version  uint64
}

// RefusalImage is the record of one invalid ticket in an Image.
type RefusalImage struct {
	Content ContentHash
	Reply   api.TicketReply
}

// Image is a serializable copy of a State for snapshots. Its lists have a
// deterministic order.
type Image struct {
	Version   uint64
	Services  []api.Service
	Searchers []api.Searcher
	Rules     []api.Rule
	Marks     []MarkImage
	Numbers   []NumberImage
	Floor     uint64
	Refusals  []RefusalImage
	History   []controlrpc.HistoryEntry
}

// Image returns a copy of the state.
func (s *State) Image() Image {
	image := Image{
		Version:   s.config.Version,
		Services:  sortedValues(s.config.Services),
		Searchers: sortedValues(s.config.Searchers),
		Rules:     sortedValues(s.config.Rules),
		Floor:     s.floor,
		History:   slices.Clone(s.history.entries),
	}
	for ref, m := range s.lastTickets {
		image.Marks = append(image.Marks, MarkImage{Object: ref, Number: m.number, Operator: m.operator})
	}
	slices.SortFunc(image.Marks, func(a, b MarkImage) int {
		return cmp.Or(strings.Compare(string(a.Object.Kind), string(b.Object.Kind)), strings.Compare(a.Object.Name, b.Object.Name))
	})
	for _, number := range s.order {
		known := s.numbers[number]
		image.Numbers = append(image.Numbers, NumberImage{
			Number:   number,
			Content:  known.content,
			Operator: known.operator,
			Version:  known.version,
		})
	}
	for _, key := range s.refusals.order {
		image.Refusals = append(image.Refusals, RefusalImage{Content: key.content, Reply: s.refusals.replies[key]})
	}
	return image
}

// FromImage returns the state that is stored in an image.
func FromImage(image Image) *State {
	s := New()
	s.config = clusterconfig.ApplyTicket(s.config, api.Ticket{
		Services:  image.Services,
		Searchers: image.Searchers,
		Rules:     image.Rules,
	})
	s.config.Version = image.Version
	s.floor = image.Floor
	for _, m := range image.Marks {
		s.lastTickets[m.Object] = lastTicket{number: m.Number, operator: m.Operator}
	}
	for _, n := range image.Numbers {
		s.numbers[n.Number] = acceptedTicket{content: n.Content, operator: n.Operator, version: n.Version}
		s.order = append(s.order, n.Number)
	}
	for _, r := range image.Refusals {
		s.refusals.record(r.Reply.Number, r.Content, r.Reply, s.limits)
	}
	for _, e := range image.History {
		s.history.add(e)
	}
	return s
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[T any](objects map[string]T) []T {
	names := make([]string, 0, len(objects))
	for name := range objects {
		names = append(names, name)
	}
	slices.Sort(names)
	ordered := make([]T, 0, len(names))
	for _, name := range names {
		ordered = append(ordered, objects[name])
	}
	return ordered
}
