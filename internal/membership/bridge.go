package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bridgeState is what a node keeps about the links between data centres.
type bridgeState struct {
	// heard is when a message from each other data centre last arrived.
	heard map[string]time.Time
	// active holds the data centres that this node is a bridge to.
	active map[string]bool
	// cache holds the bridges of each pair of data centres for one version of
	// the members.
	cache   map[dataCentrePair][]*memberEntry
	version uint64
}

// dataCentrePair names a data centre and another one that its bridges keep
// contact with.
type dataCentrePair struct {
	from, to string
}

// bridges returns the members of a data centre that keep contact with another
// one: those with the highest rendezvous hashes for the pair, so that a large
// data centre uses different bridges for each of the others.
func (s *State) bridges(from, to string) []*memberEntry {
	if s.bridgeState.version != s.membersVersion || s.bridgeState.cache == nil {
		s.bridgeState.cache = map[dataCentrePair][]*memberEntry{}
		s.bridgeState.version = s.membersVersion
	}
	pair := dataCentrePair{from: from, to: to}
	list, ok := s.bridgeState.cache[pair]
	if !ok {
		other := xxhash.Sum64String(to)
		list = highestScored(s.listed[from], s.timing.Bridges, func(e *memberEntry) uint64 {
			return mix(e.score ^ other)
		})
		s.bridgeState.cache[pair] = list
	}
	return list
}

// isBridge reports whether this node keeps contact with another data centre. A
// leaving node, which is no longer listed, still does: it may have been the
// only bridge that can pass on its leave.
func (s *State) isBridge(to string) bool {
	if !s.leavingSince.IsZero() {
		return true
	}
	return containsMember(s.bridges(s.localNode().DataCentre, to), s.self)
}

// remoteBridges returns the bridges of another data centre to this one.
func (s *State) remoteBridges(dataCentre string) []*memberEntry {
	return s.bridges(dataCentre, s.localNode().DataCentre)
}

// otherDataCentres returns the data centres with listed members, except this
// one.
func (s *State) otherDataCentres() []string {
	names := sortedKeys(s.listed)
	return slices.DeleteFunc(names, func(dc string) bool {
		return dc == s.localNode().DataCentre || len(s.listed[dc]) == 0
	})
}

// bridge contacts the data centres that this node is a bridge to, and updates
// the list of those that it hears nothing from.
func (s *State) bridge() {
	if s.localNode().State == MemberLeft {
		return
	}
	var unreached []string
	for _, dc := range s.otherDataCentres() {
		if !s.isBridge(dc) {
			delete(s.bridgeState.active, dc)
			continue
		}
		if !s.bridgeState.active[dc] {
			s.bridgeState.active[dc] = true
			s.bridgeState.heard[dc] = s.now
		}
		silence := s.now.Sub(s.bridgeState.heard[dc])
		if silence > s.timing.UnreachedAfter {
			unreached = append(unreached, dc)
		}
		s.contactDataCentre(dc, silence > 2*s.timing.BridgeInterval)
	}
	if !s.settling() {
		s.setUnreached(unreached)
	}
}

// contactDataCentre compares digests with a bridge of another data centre, or
// with any listed member of it when it is silent.
func (s *State) contactDataCentre(dataCentre string, silent bool) {
	list := s.remoteBridges(dataCentre)
	if silent {
		list = s.listed[dataCentre]
	}
	m := s.rootDigest()
	m.Sequence = s.nextSequence()
	s.send(list[s.random.IntN(len(list))], m)
}

func (s *State) setUnreached(unreached []string) {
	localNode := s.localNode().Member
	if slices.Equal(localNode.Unreached, unreached) || !localNode.Listed() {
		return
	}
	for _, dc := range unreached {
		if !slices.Contains(localNode.Unreached, dc) {
			s.logEvent(LogDataCentreUnreachable, dc)
		}
	}
	for _, dc := range localNode.Unreached {
		if !slices.Contains(unreached, dc) {
			s.logEvent(LogDataCentreReachable, dc)
		}
	}
	localNode.Unreached = unreached
	s.putMember(localNode)
	s.raiseIncarnation(localNode.Incarnation)
}

// rejoin pings members believed dead and seeds that aren't members, so that the
// two sides of a healed partition find each other. A node that knows other
// listed members pings one random candidate; one that knows none pings all.
func (s *State) rejoin() {
	if s.localNode().State == MemberLeft {
		return
	}
	candidates := s.rejoinCandidates()
	if len(s.otherListedIDs()) > 0 && len(candidates) > 1 {
		i := s.random.IntN(len(candidates))
		candidates = candidates[i : i+1]
	}
	for _, c := range candidates {
		s.sendTo(c.Address, c.ID, Message{
			Kind:     KindPing,
			Sequence: s.nextSequence(),
			Members:  s.introductionRecords(c.ID),
		})
	}
}

// introductionRecords returns this node's own record and, if it has one, its
// record of the receiver, so that the receiver can refute it.
func (s *State) introductionRecords(id string) []Member {
	list := []Member{s.localNode().Member}
	if e := s.members[id]; e != nil {
		list = append(list, e.wireRecord(s.now))
	}
	return list
}

// rejoinCandidates returns the seeds at whose address no listed or departed
// member is known, and the dead members of this data centre and of those
// without listed members. The seeds are returned without ids, since the ids in
// the settings may be wrong.
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
		if e.DataCentre == s.localNode().DataCentre || len(s.listed[e.DataCentre]) == 0 {
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

// otherListedIDs returns the ids of all listed members except this node.
func (s *State) otherListedIDs() []string {
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
