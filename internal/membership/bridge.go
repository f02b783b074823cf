package membership

import (
	"slices"
	"time"
)

// bridging is what a bridge knows of its contact with other data centres.
type bridging struct {
	// heard says when each other data centre was last heard from.
	heard map[string]time.Time
	// cache holds the bridges of each data centre for one version of the
	// members.
	cache   map[string][]*memberEntry
	version uint64
	active  bool
}

// bridgesOf returns the members that keep contact for a data centre: those
// with the highest rendezvous hashes.
func (s *State) bridgesOf(dataCentre string) []*memberEntry {
	if s.bridging.version != s.membersVersion || s.bridging.cache == nil {
		s.bridging.cache = map[string][]*memberEntry{}
		s.bridging.version = s.membersVersion
	}
	bridges, ok := s.bridging.cache[dataCentre]
	if !ok {
		bridges = highest(s.listed[dataCentre], s.timing.Bridges, func(e *memberEntry) uint64 { return e.score })
		s.bridging.cache[dataCentre] = bridges
	}
	return bridges
}

// isBridge reports whether this node keeps contact with other data centres. A
// node that leaves does, for its last word: it may have been the only one.
func (s *State) isBridge() bool {
	if !s.leaving.IsZero() {
		return true
	}
	return containsMember(s.bridgesOf(s.me().DataCentre), s.self)
}

// otherDataCentres returns the data centres that have members, but this one.
func (s *State) otherDataCentres() []string {
	names := sortedKeys(s.listed)
	return slices.DeleteFunc(names, func(dc string) bool {
		return dc == s.me().DataCentre || len(s.listed[dc]) == 0
	})
}

// bridge contacts each other data centre and keeps the list of those that
// aren't heard from.
func (s *State) bridge() {
	if s.me().State == MemberLeft {
		return
	}
	if !s.isBridge() {
		s.bridging.active = false
		s.setUnreached(nil)
		return
	}
	if !s.bridging.active {
		s.bridging.active = true
		clear(s.bridging.heard)
	}
	var unreached []string
	for _, dc := range s.otherDataCentres() {
		heard, ok := s.bridging.heard[dc]
		if !ok {
			heard = s.now
			s.bridging.heard[dc] = heard
		}
		if s.now.Sub(heard) > s.timing.UnreachedAfter {
			unreached = append(unreached, dc)
		}
		s.contact(dc, s.now.Sub(heard) > 2*s.timing.BridgeInterval)
	}
	if !s.quiet() {
		s.setUnreached(unreached)
	}
}

// contact compares digests with a bridge of another data centre, or with any
// member of it when its bridges are silent.
func (s *State) contact(dataCentre string, silent bool) {
	list := s.bridgesOf(dataCentre)
	if silent {
		list = s.listed[dataCentre]
	}
	m := s.rootDigest()
	m.Sequence = s.nextSequence()
	s.send(list[s.random.IntN(len(list))], m)
}

func (s *State) setUnreached(unreached []string) {
	me := s.me().Member
	if slices.Equal(me.Unreached, unreached) || !me.Listed() {
		return
	}
	for _, dc := range unreached {
		if !slices.Contains(me.Unreached, dc) {
			s.note(NoteDataCentreLost, dc)
		}
	}
	for _, dc := range me.Unreached {
		if !slices.Contains(unreached, dc) {
			s.note(NoteDataCentreBack, dc)
		}
	}
	me.Unreached = unreached
	s.putMember(me)
	s.renewSelf(me.Incarnation)
}

// rejoin tries members that are thought dead and seeds that aren't members, so
// that the two sides of a healed cut find each other. A node that knows nobody
// tries every seed.
func (s *State) rejoin() {
	if s.me().State == MemberLeft {
		return
	}
	candidates := s.rejoinCandidates()
	if len(s.suspectsAndLive()) > 0 && len(candidates) > 1 {
		i := s.random.IntN(len(candidates))
		candidates = candidates[i : i+1]
	}
	for _, c := range candidates {
		s.sendTo(c.Address, c.ID, Message{
			Kind:     KindPing,
			Sequence: s.nextSequence(),
			Members:  s.introduction(c.ID),
		})
	}
}

// introduction returns this node's own record, and what it believes of the
// receiver, so that the receiver can refute it.
func (s *State) introduction(id string) []Member {
	list := []Member{s.me().Member}
	if e := s.members[id]; e != nil {
		list = append(list, e.wire(s.now))
	}
	return list
}

func (s *State) rejoinCandidates() []Seed {
	var list []Seed
	for _, seed := range s.seeds {
		if e := s.members[seed.ID]; e == nil || e.State == MemberDead && e.Address != seed.Address {
			list = append(list, seed)
		}
	}
	for _, id := range sortedKeys(s.members) {
		e := s.members[id]
		if e.State != MemberDead || id == s.self {
			continue
		}
		if e.DataCentre == s.me().DataCentre || len(s.listed[e.DataCentre]) == 0 {
			list = append(list, Seed{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre})
		}
	}
	return list
}

// suspectsAndLive returns the listed members but this node.
func (s *State) suspectsAndLive() []string {
	var ids []string
	for _, list := range s.listed {
		for _, e := range list {
			if e.ID != s.self {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}
