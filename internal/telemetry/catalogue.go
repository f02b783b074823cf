package telemetry

import "slices"

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	all := slices.Concat(EntryEvents, ControlEvents, MembershipEvents, SearcherEvents, CommonEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
