package membership

import (
	"slices"
	"strings"
	"time"
)

// putMember stores a member's record and updates the indexes and the digest
// tree.
func (s *State) putMember(m Member) *memberEntry {
	e := s.members[m.ID]
	if e == nil {
		e = &memberEntry{score: nameHash(false, "bridge/"+m.ID)}
		s.members[m.ID] = e
	}
	wasListed := e.Listed() && e.ID != ""
	oldDataCentre := e.DataCentre
	e.Member = m
	if !m.Listed() {
		e.endedAt = s.now.Add(-time.Duration(m.EndedMS) * time.Millisecond)
	}
	if m.State == MemberSuspect {
		s.suspects[m.ID] = struct{}{}
	} else {
		delete(s.suspects, m.ID)
		e.suspectedHere = false
	}
	s.updateListed(e, wasListed, oldDataCentre)
	s.tree.set(false, m.ID, e.versionHash())
	return e
}

// versionHash covers what all nodes must agree on. A suspicion is left out: it
// is confirmed or refuted within seconds and needs no repair.
func (e *memberEntry) versionHash() uint64 {
	state := e.State
	if state == MemberSuspect {
		state = MemberAlive
	}
	return versionHash(nameHash(false, e.ID), e.Incarnation, uint64(state))
}

// updateListed updates the lists of listed members by data centre.
func (s *State) updateListed(e *memberEntry, wasListed bool, oldDataCentre string) {
	s.membersDirty = true
	if wasListed && (!e.Listed() || oldDataCentre != e.DataCentre) {
		list := s.listed[oldDataCentre]
		if i, ok := findMember(list, e.ID); ok {
			s.listed[oldDataCentre] = slices.Delete(list, i, i+1)
		}
		wasListed = false
		s.membersVersion++
	}
	if !e.Listed() || wasListed {
		return
	}
	list := s.listed[e.DataCentre]
	if i, ok := findMember(list, e.ID); !ok {
		s.listed[e.DataCentre] = slices.Insert(list, i, e)
		s.membersVersion++
	}
}

func findMember(list []*memberEntry, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e *memberEntry, id string) int {
		return strings.Compare(e.ID, id)
	})
}

// applyMember applies a member's record from a peer. It reports whether the
// record was already known, and whether this node holds a newer one.
func (s *State) applyMember(m Member, from string) (known, stale bool) {
	if m.ID == s.self {
		return s.applySelf(m)
	}
	cur := s.members[m.ID]
	if cur == nil {
		return s.applyNewMember(m, from), false
	}
	if !m.Supersedes(cur.Member) {
		return true, cur.Supersedes(m)
	}
	next, accepted := s.reconcileMember(cur, m)
	if !accepted {
		return true, false
	}
	rejoined := !cur.Listed()
	e := s.putMember(next)
	if next.State == MemberSuspect {
		e.suspectAt = s.now
	}
	s.addRumour(false, m.ID, from)
	if rejoined && e.Listed() {
		s.logEvent(LogMemberJoined, m.ID)
	}
	s.logMemberState(e)
	return false, false
}

// applySelf refutes a peer's record of this node: a suspicion or a death, or a
// higher incarnation that an earlier process with this id left behind.
func (s *State) applySelf(m Member) (known, stale bool) {
	localNode := s.localNode()
	if localNode.Supersedes(m) || m.Incarnation == localNode.Incarnation && m.State == localNode.State {
		return true, localNode.Supersedes(m)
	}
	if localNode.State == MemberLeft {
		return true, false
	}
	if m.State != MemberAlive {
		s.logEvent(LogSelfSuspected, m.State.String())
		s.raiseHealthScore()
	}
	s.raiseIncarnation(m.Incarnation)
	return false, true
}

// raiseIncarnation raises the node's own incarnation above floor and spreads
// its record.
func (s *State) raiseIncarnation(floor uint64) {
	localNode := s.localNode().Member
	localNode.Incarnation = max(localNode.Incarnation, floor) + 1
	s.putMember(localNode)
	s.addRumour(false, s.self, "")
}

func (s *State) applyNewMember(m Member, from string) (known bool) {
	ended := time.Duration(m.EndedMS) * time.Millisecond
	if !m.Listed() && ended >= s.timing.Retention {
		return true
	}
	e := s.putMember(m)
	e.suspectAt = s.now
	s.addRumour(false, m.ID, from)
	if m.Listed() {
		s.logEvent(LogMemberJoined, m.ID)
	}
	return false
}

// reconcileMember decides whether to accept a newer record of a known member,
// and in which state. A report of the death of a listed member only starts a
// suspicion, so that the member has time to refute it, and a suspicion that is
// already running ends by this node's own clock. Otherwise reports from a node
// that was itself isolated would make live members flap.
func (s *State) reconcileMember(cur *memberEntry, m Member) (Member, bool) {
	if m.State != MemberDead || !cur.Listed() {
		return m, true
	}
	if cur.State == MemberSuspect && cur.Incarnation == m.Incarnation {
		return Member{}, false
	}
	m.State = MemberSuspect
	m.EndedMS = 0
	return m, true
}

// suspectMember starts a suspicion after a failed probe by this node.
func (s *State) suspectMember(e *memberEntry) {
	if e.State != MemberAlive {
		return
	}
	m := e.Member
	m.State = MemberSuspect
	s.putMember(m)
	e.suspectAt = s.now
	e.suspectedHere = true
	s.addRumour(false, m.ID, "")
	s.logMemberState(e)
}

// suspicionTimeout returns the time to refute a suspicion. It grows with the
// logarithm of the data centre's size, as does the time that a refutation needs
// to spread.
func (s *State) suspicionTimeout(dataCentre string) time.Duration {
	t := s.timing.SuspicionTimeout
	for n := len(s.listed[dataCentre]); n >= 10; n /= 10 {
		t += s.timing.SuspicionTimeout
	}
	return t
}

// declareDead declares dead the members that did not refute in time. An
// isolated node declares nobody dead: its own isolation looks like the death of
// all others.
func (s *State) declareDead() {
	if len(s.suspects) == 0 || s.isolated || s.settling() {
		return
	}
	for _, id := range sortedKeys(s.suspects) {
		e := s.members[id]
		if s.now.Sub(e.suspectAt) < s.suspicionTimeout(e.DataCentre) {
			continue
		}
		m := e.Member
		m.State = MemberDead
		m.EndedMS = 0
		s.putMember(m)
		s.addRumour(false, id, "")
		s.logMemberState(e)
	}
}

// settling reports whether the node was paused less than SettleTime ago.
func (s *State) settling() bool {
	return s.now.Before(s.settlingUntil)
}

func (s *State) logMemberState(e *memberEntry) {
	switch e.State {
	case MemberSuspect:
		s.logEvent(LogMemberSuspected, e.ID)
	case MemberDead:
		s.logEvent(LogMemberDead, e.ID)
	case MemberLeft:
		s.logEvent(LogMemberLeft, e.ID)
	}
}

// wireRecord returns the record as sent to peers, with EndedMS up to date.
func (e *memberEntry) wireRecord(now time.Time) Member {
	m := e.Member
	if !m.Listed() {
		m.EndedMS = now.Sub(e.endedAt).Milliseconds()
	}
	return m
}

// peers returns the listed members of a data centre except this node.
func (s *State) peers(dataCentre string) []*memberEntry {
	list := slices.Clone(s.listed[dataCentre])
	return slices.DeleteFunc(list, func(e *memberEntry) bool { return e.ID == s.self })
}

// contactMembers returns the members of this data centre that the node probes
// and pushes to: all, this node included, in one of up to twice Timing.Contacts
// members; in a larger one those with the highest rendezvous hashes for the pair
// of this node and the member. These form a random graph, in which a rumour
// needs a few more hops than in a full mesh while each node has a bounded number
// of connections.
func (s *State) contactMembers() []*memberEntry {
	list := s.listed[s.localNode().DataCentre]
	if len(list) <= 2*s.timing.Contacts {
		return list
	}
	if s.contactsVersion != s.membersVersion || s.contacts == nil {
		own := s.localNode().score
		s.contactsVersion = s.membersVersion
		s.contacts = highestScored(s.peers(s.localNode().DataCentre), s.timing.Contacts, func(e *memberEntry) uint64 {
			return mix(e.score ^ own)
		})
	}
	return s.contacts
}

// randomPeers returns up to n random contacts, without this node and the member
// except.
func (s *State) randomPeers(n int, except string) []*memberEntry {
	list := s.contactMembers()
	if len(list) <= 3*n {
		return s.shuffledPeers(list, n, except)
	}
	var chosen []*memberEntry
	for tries := 0; len(chosen) < n && tries < 8*n; tries++ {
		e := list[s.random.IntN(len(list))]
		if e.ID == s.self || e.ID == except || slices.Contains(chosen, e) {
			continue
		}
		chosen = append(chosen, e)
	}
	return chosen
}

func (s *State) shuffledPeers(list []*memberEntry, n int, except string) []*memberEntry {
	list = slices.Clone(list)
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = slices.DeleteFunc(list, func(e *memberEntry) bool {
		return e.ID == s.self || e.ID == except
	})
	return list[:min(n, len(list))]
}

// sortedKeys returns a map's keys in sorted order, so that a run can be
// reproduced.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
