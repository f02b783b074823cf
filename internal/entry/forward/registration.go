package forward

import (
	"cmp"
	"slices"
	"time"

	"wigeonbay/internal/api"
)

// Anyone can announce a target, also under the ID of another one or with its address. Of the
// registrations that share an ID or an address at most one can be true, and the others must
// not take its place. A later incarnation is believed at once, since addresses and IDs are
// used again, but only one in a service that the routing table names, and only until another
// target answers at its address.

// registration is what is announced of a target in one service.
type registration struct {
	announcement api.Announcement
	// target is the target in use for it. It is nil if the target is gone or another
	// registration outranks this one.
	target *target
	// past holds what the target that was last in use for it demanded, nil for nothing.
	past *pastDemands
	// since is when its incarnation was first announced here with its address.
	since time.Time
	// refuted is set while another target has answered last at the address, or the target
	// itself at another one.
	refuted bool
	// displaced is set while another registration outranks this one.
	displaced bool
	// checked is set once a health check was sent because the target is used in the place of
	// another one.
	checked bool
}

// registrations holds all registrations, those of gone targets included: a target that has
// left still shows that earlier ones at its address are over.
type registrations struct {
	byTarget  map[api.TargetID][]*registration
	byAddress map[string][]*registration
}

func newRegistrations() registrations {
	return registrations{byTarget: map[api.TargetID][]*registration{}, byAddress: map[string][]*registration{}}
}

// find returns the registration of a target in a service, nil if there is none.
func (rs *registrations) find(id api.TargetID, service string) *registration {
	for _, r := range rs.byTarget[id] {
		if r.announcement.Service == service {
			return r
		}
	}
	return nil
}

// sharing returns the registrations that share a registration's ID or address, itself
// included.
func (rs *registrations) sharing(r *registration) []*registration {
	out := append([]*registration(nil), rs.byTarget[r.announcement.Target]...)
	for _, other := range rs.byAddress[r.announcement.Address] {
		if other.announcement.Target != r.announcement.Target {
			out = append(out, other)
		}
	}
	return out
}

// set stores an announcement in its registration.
func (rs *registrations) set(a api.Announcement) *registration {
	r := rs.find(a.Target, a.Service)
	if r == nil {
		r = &registration{announcement: a}
		rs.byTarget[a.Target] = append(rs.byTarget[a.Target], r)
		rs.byAddress[a.Address] = append(rs.byAddress[a.Address], r)
		return r
	}
	if known := r.announcement; known.Address != a.Address {
		rs.byAddress[known.Address] = slices.DeleteFunc(rs.byAddress[known.Address], func(other *registration) bool { return other == r })
		if len(rs.byAddress[known.Address]) == 0 {
			delete(rs.byAddress, known.Address)
		}
		rs.byAddress[a.Address] = append(rs.byAddress[a.Address], r)
	}
	if r.announcement.Incarnation != a.Incarnation || r.announcement.Address != a.Address {
		r.refuted, r.checked, r.since = false, false, time.Time{}
	}
	r.announcement = a
	return r
}

// register applies an announcement. A departure without a service concerns all
// registrations of its incarnation.
func (s *State) register(a api.Announcement) {
	if a.State == api.TargetGone && a.Service == "" {
		for _, r := range s.registrations.byTarget[a.Target] {
			if departed := r.announcement; departed.Incarnation == a.Incarnation {
				departed.State = api.TargetGone
				s.register(departed)
			}
		}
		return
	}
	a.Slots = min(a.Slots, api.MaxTargetCapacity)
	var before []*registration
	if known := s.registrations.find(a.Target, a.Service); known != nil {
		before = s.registrations.sharing(known)
	}
	r := s.registrations.set(a)
	if r.since.IsZero() {
		r.since = s.now
	}
	if a.State == api.TargetGone && r.target != nil {
		s.removeTarget(r.target)
	}
	wasInUse := r.target != nil
	s.settle(before)
	s.settle(s.registrations.sharing(r))
	if wasInUse && r.target != nil {
		s.updateTarget(r)
	}
}

// settle removes the targets of registrations that others outrank, and uses those that no
// other one outranks any more.
func (s *State) settle(changed []*registration) {
	for _, r := range changed {
		by := s.outranking(r)
		if by == nil || r.announcement.State == api.TargetGone {
			continue
		}
		if r.target != nil {
			s.removeTarget(r.target)
		}
		if !r.displaced {
			r.displaced = true
			s.emit(TargetDisplaced{Announcement: r.announcement, By: by.announcement})
		}
	}
	for _, r := range changed {
		if r.target != nil || r.announcement.State == api.TargetGone || s.outranking(r) != nil {
			continue
		}
		if r.displaced {
			r.displaced = false
			s.emit(TargetRestored{Announcement: r.announcement})
		}
		s.updateTarget(r)
	}
	for _, r := range changed {
		s.checkAddress(r)
	}
}

// checkAddress sends a health check to the address of a target that is used in the place of
// another one. Its service may get too few requests for these to find out which target is there.
func (s *State) checkAddress(displaced *registration) {
	by := s.outranking(displaced)
	if displaced.announcement.State == api.TargetGone || !s.isNamed(displaced) || by == nil || by.target == nil {
		return
	}
	if by.announcement.Target == displaced.announcement.Target || by.checked || by.target.probing || !by.target.acceptsWork() || !by.target.pool.named {
		return
	}
	by.checked = true
	s.probe(by.target)
}

// settleAll settles the registrations that share their ID or address with others, after a
// change of the services that the routing table names.
func (s *State) settleAll() {
	for _, list := range s.registrations.byTarget {
		if len(list) > 1 {
			s.settle(list)
		}
	}
	for _, list := range s.registrations.byAddress {
		if len(list) > 1 {
			s.settle(list)
		}
	}
}

// outranking returns a registration that outranks r, nil if there is none.
func (s *State) outranking(r *registration) *registration {
	for _, other := range s.registrations.byTarget[r.announcement.Target] {
		if other != r && s.outranksAtTarget(other, r) {
			return other
		}
	}
	for _, other := range s.registrations.byAddress[r.announcement.Address] {
		if other.announcement.Target != r.announcement.Target && s.outranksAtAddress(other, r) {
			return other
		}
	}
	return nil
}

// outranksAtTarget reports whether a outranks b, a registration of the same target in
// another service.
func (s *State) outranksAtTarget(a, b *registration) bool {
	switch aNamed, bNamed := s.isNamed(a), s.isNamed(b); {
	case a.announcement.Reinstated != b.announcement.Reinstated:
		return a.announcement.Reinstated > b.announcement.Reinstated
	case aNamed != bNamed:
		return aNamed
	case a.refuted != b.refuted:
		return b.refuted
	default:
		return a.isLater(b)
	}
}

// outranksAtAddress reports whether a outranks b, a registration of another target with the
// same address.
func (s *State) outranksAtAddress(a, b *registration) bool {
	return !a.refuted && (s.isNamed(a) || b.refuted) && a.isLater(b)
}

// isNamed reports whether the routing table names a registration's service.
func (s *State) isNamed(r *registration) bool {
	if s.table == nil {
		return true
	}
	p := s.pools[r.announcement.Service]
	return p != nil && p.named
}

// isLater orders registrations by their incarnations, the start times of their processes.
func (r *registration) isLater(other *registration) bool {
	a, b := r.announcement, other.announcement
	order := cmp.Compare(a.Incarnation, b.Incarnation)
	if a.Target == b.Target {
		order = cmp.Or(order, cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Service, b.Service))
	}
	return cmp.Or(order, cmp.Compare(a.Target, b.Target)) > 0
}

// setRefuted records whether the target that has answered at a target's address was another
// one.
func (s *State) setRefuted(t *target, refuted bool) {
	r := t.registration
	if r == nil || r.target != t || r.refuted == refuted {
		return
	}
	r.refuted = refuted
	s.settle(s.registrations.sharing(r))
}

// recordAnswer refutes the later registrations that claim the address of a target, or its ID at
// another address, and were known when a request was sent that the target has run. A refusal shows
// nothing: a full target may refuse a request before it looks whom it is for.
func (s *State) recordAnswer(t *target, sent time.Time) {
	r := t.registration
	if r == nil || r.target != t || len(s.registrations.byTarget[t.id()]) == 1 && len(s.registrations.byAddress[r.announcement.Address]) == 1 {
		return
	}
	var changed []*registration
	for _, other := range s.registrations.sharing(r) {
		sameTarget, sameAddress := other.announcement.Target == t.id(), other.announcement.Address == r.announcement.Address
		if other == r || sameTarget && sameAddress || other.refuted || !other.isLater(r) || !other.since.Before(sent) {
			continue
		}
		other.refuted = true
		if other.target != nil {
			s.holdUntilHealthy(other.target)
		}
		changed = append(changed, s.registrations.sharing(other)...)
	}
	s.settle(changed)
}
