package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bridging is what a bridge knows of its contact with other data centres.
type bridging struct {
	// heard says when each other data centre was last heard from.
	heard map[string]time.Time
	// active holds the data centres that this node is a bridge to.
	active map[string]bool
	// cache holds the bridges of each pair of data centres for one version of
	// the members.
	cache   map[dataCentrePair][]*memberEntry
	version uint64
}

// dataCentrePair names a data centre and another one that it keeps contact
// with.
type dataCentrePair struct {
	from, to string
}

// bridges returns the members of a data centre that keep contact with another:
// those with the highest rendezvous hashes for the pair, so that in a large
// data centre each other one is kept by other nodes.
func (s *State) bridges(from, to string) []*memberEntry {
	if s.bridging.version != s.membersVersion || s.bridging.cache == nil {
		s.bridging.cache = map[dataCentrePair][]*memberEntry{}
		s.bridging.version = s.membersVersion
	}
	pair := dataCentrePair{from: from, to: to}
	list, ok := s.bridging.cache[pair]
	if !ok {
		other := xxhash.Sum64String(to)
		list = highest(s.listed[from], s.timing.Bridges, func(e *memberEntry) uint64 {
			return mix(e.score ^ other)
		})
		s.bridging.cache[pair] = list
	}
	return list
}

// isBridge reports whether this node keeps contact with another data centre. A
// node that leaves does, for its last word: it may have been the only one.
func (s *State) isBridge(to string) bool {
	if !s.leaving.IsZero() {
		return true
	}
	return containsMember(s.bridges(s.me().DataCentre, to), s.self)
}

// farBridges returns the bridges of another data centre to this one.
func (s *State) farBridges(dataCentre string) []*memberEntry {
	return s.bridges(dataCentre, s.me().DataCentre)
}

// otherDataCentres returns the data centres that have members, but this one.
func (s *State) otherDataCentres() []string {
	names := sortedKeys(s.listed)
	return slices.DeleteFunc(names, func(dc string) bool {
		return dc == s.me().DataCentre || len(s.listed[dc]) == 0
	})
}

// bridge contacts the data centres that this node is a bridge to, and keeps the
// list of those that aren't heard from.
func (s *State) bridge() {
	if s.me().State == MemberLeft {
		return
	}
	var unreached []string
	for _, dc := range s.otherDataCentres() {
		if !s.isBridge(dc) {
			delete(s.bridging.active, dc)
			continue
		}
		if !s.bridging.active[dc] {
			s.bridging.active[dc] = true
			s.bridging.heard[dc] = s.now
		}
		silence := s.now.Sub(s.bridging.heard[dc])
		if silence > s.timing.UnreachedAfter {
			unreached = append(unreached, dc)
		}
		s.contact(dc, silence > 2*s.timing.BridgeInterval)
	}
	if !s.quiet() {
		s.setUnreached(unreached)
	}
}

// contact compares digests with a bridge of another data centre, or with any
// member of it when its bridges are silent.
func (s *State) contact(dataCentre string, silent bool) {
	list := s.farBridges(dataCentre)
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

// rejoinCandidates returns the seeds that no member answers for, without their
// names, which the settings may have wrong, and the dead members.
func (s *State) rejoinCandidates() []Seed {
	var list []Seed
	for _, seed := range s.seeds {
		if !s.listedAt(seed.Address) {
			list = append(list, Seed{Address: seed.Address, DataCentre: seed.DataCentre})
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

func (s *State) listedAt(address string) bool {
	for _, e := range s.members {
		if e.Address == address && (e.Listed() || e.State == MemberLeft) {
			return true
		}
	}
	return false
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
