package forward

import (
	"cmp"
	"maps"
	"slices"
)

// An operator may order that nothing is sent to the targets of a data centre any more. It
// answers the load before a planned power cut or while the data centre misbehaves: requests
// that are sent go on, and everything else is placed elsewhere. An order concerns the data
// centre, so it holds for targets that become known later as well.

// evacuations are the orders to evacuate data centres that the node follows.
type evacuations struct {
	version     uint64
	dataCentres map[string]bool
	// targets is the number of targets in evacuated data centres.
	targets int
}

// Evacuations returns the version of the orders that the node follows, and the names of the
// evacuated data centres, sorted.
func (s *State) Evacuations() (version uint64, dataCentres []string) {
	return s.evacuations.version, slices.Sorted(maps.Keys(s.evacuations.dataCentres))
}

// changeEvacuations follows newer orders. Queued parts are placed elsewhere at once, or given
// up if no other target can take them. Targets of a data centre that returns count as cold until
// they have said otherwise.
func (s *State) changeEvacuations(ev EvacuationChanged) {
	e := &s.evacuations
	if ev.Version <= e.version {
		return
	}
	before := e.dataCentres
	e.version, e.dataCentres = ev.Version, make(map[string]bool, len(ev.DataCentres))
	for _, name := range ev.DataCentres {
		e.dataCentres[name] = true
	}
	changed := map[*pool]bool{}
	for _, t := range s.targets {
		if s.setEvacuated(t) {
			changed[t.pool] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !e.dataCentres[name] {
			s.markDataCentreUnverified(name)
		}
	}
	pools := slices.SortedFunc(maps.Keys(changed), func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	for _, p := range pools {
		s.sharePoolConnections(p)
	}
	s.countUnreachable(0) // fewer or more targets may be usable
	for _, p := range pools {
		s.dropHopelessWaiting(p)
		s.sendWaiting(p)
	}
}

// setEvacuated sets whether a target's data centre is evacuated, and reports whether that has
// changed. The caller then has the node's impairment checked. An unreachable target gets no health checks meanwhile and doesn't count as
// unreachable: it says nothing about the node's own connection.
func (s *State) setEvacuated(t *target) bool {
	evacuated := s.evacuations.dataCentres[t.announcement.DataCentre]
	if t.evacuated == evacuated {
		return false
	}
	t.evacuated = evacuated
	change := 1
	if evacuated {
		change = -1
	}
	s.evacuations.targets -= change
	if t.unreachable {
		s.unreachable += change
	}
	return true
}

// forgetEvacuated removes a target from the counts of those in evacuated data centres.
func (s *State) forgetEvacuated(t *target) {
	if t.evacuated {
		t.evacuated, t.unreachable = false, false
		s.evacuations.targets--
	}
}

// countUnreachableOf adds a target to the number of unreachable ones or removes it, unless its
// data centre is evacuated.
func (s *State) countUnreachableOf(t *target, change int) {
	if !t.evacuated {
		s.countUnreachable(change)
	}
}

// usableTargets returns the number of targets in data centres that are not evacuated.
func (s *State) usableTargets() int { return len(s.targets) - s.evacuations.targets }
