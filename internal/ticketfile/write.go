package ticketfile

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"wigeonbay/internal/api"
)

// Write writes the objects of a configuration in the format of a ticket file,
// without the section [ticket], so that an operator can edit a copy, add the
// section and apply it.
func Write(w io.Writer, config api.Configuration) error {
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		s := config.Services[name]
		_, err := fmt.Fprintf(w, "[service %s]\nprefer = %s\nleast_coverage = %v\ndeadline_ms = %d\nextra_load_percent = %v\nmax_in_flight = %d\n\n",
			name, s.Prefer, s.LeastCoverage, s.DeadlineMS, s.ExtraLoadPercent, s.MaxInFlight)
		if err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Searchers)) {
		s := config.Searchers[name]
		_, err := fmt.Fprintf(w, "[searcher %s]\nservice = %s\nslots = %d\nconnections = %d\ndrain = %v\n\n",
			name, s.Service, s.Slots, s.Connections, s.Drain)
		if err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Rules)) {
		r := config.Rules[name]
		_, err := fmt.Fprintf(w, "[rule %s]\nservice = %s\ncaller = %s\nto = %s\npercent = %v\n\n",
			name, r.Service, r.Caller, r.To, r.Percent)
		if err != nil {
			return err
		}
	}
	return nil
}
