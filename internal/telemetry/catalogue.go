package telemetry

import "slices"

// Catalogue returns every event, by rising number.
func Catalogue() []Event {
	all := slices.Concat(EntryEvents, ControlEvents, MembershipEvents, SearcherEvents, ToolsEvents)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
