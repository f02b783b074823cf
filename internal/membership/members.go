package membership

import (
	"slices"
	"strings"
	"time"
)

// putMember stores a member's record and keeps the indexes and the digest.
func (s *State) putMember(m Member) *memberEntry {
	e := s.members[m.ID]
	if e == nil {
		e = &memberEntry{score: nameHash(false, "bridge/"+m.ID)}
		s.members[m.ID] = e
	}
	wasListed := e.Listed() && e.ID != ""
	movedFrom := e.DataCentre
	e.Member = m
	if !m.Listed() {
		e.endedAt = s.now.Add(-time.Duration(m.EndedMS) * time.Millisecond)
	}
	if m.State == MemberSuspect {
		s.suspects[m.ID] = struct{}{}
	} else {
		delete(s.suspects, m.ID)
		e.accusedHere = false
	}
	s.relist(e, wasListed, movedFrom)
	s.tree.set(false, m.ID, e.versionHash())
	return e
}

// versionHash covers what every node must agree on. A suspicion is left out:
// it is confirmed or refuted within seconds and needs no repair.
func (e *memberEntry) versionHash() uint64 {
	state := e.State
	if state == MemberSuspect {
		state = MemberAlive
	}
	return versionHash(nameHash(false, e.ID), e.Incarnation, uint64(state))
}

// relist keeps the lists of live members by data centre.
func (s *State) relist(e *memberEntry, wasListed bool, movedFrom string) {
	s.membersDirty = true
	if wasListed && (!e.Listed() || movedFrom != e.DataCentre) {
		list := s.listed[movedFrom]
		if i, ok := findMember(list, e.ID); ok {
			s.listed[movedFrom] = slices.Delete(list, i, i+1)
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

// applyMember takes in a member's record from a peer. It reports whether the
// record was known, and whether this node holds a newer one.
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
	next, accepted := s.judge(cur, m)
	if !accepted {
		return true, false
	}
	back := !cur.Listed()
	e := s.putMember(next)
	if next.State == MemberSuspect {
		e.suspectAt = s.now
	}
	s.rumour(false, m.ID, from)
	if back && e.Listed() {
		s.note(NoteMemberJoined, m.ID)
	}
	s.noteMember(e)
	return false, false
}

// applySelf refutes what others believe of this node: an accusation, or an
// incarnation above its own, which an earlier process left behind.
func (s *State) applySelf(m Member) (known, stale bool) {
	me := s.me()
	if me.Supersedes(m) || m.Incarnation == me.Incarnation && m.State == me.State {
		return true, me.Supersedes(m)
	}
	if me.State == MemberLeft {
		return true, false
	}
	if m.State != MemberAlive {
		s.note(NoteSelfAccused, m.State.String())
		s.raiseHealth()
	}
	s.renewSelf(m.Incarnation)
	return false, true
}

// renewSelf raises the node's own incarnation above floor and spreads it.
func (s *State) renewSelf(floor uint64) {
	me := s.me().Member
	me.Incarnation = max(me.Incarnation, floor) + 1
	s.putMember(me)
	s.rumour(false, s.self, "")
}

func (s *State) applyNewMember(m Member, from string) (known bool) {
	ended := time.Duration(m.EndedMS) * time.Millisecond
	if !m.Listed() && ended >= s.timing.Retention {
		return true
	}
	e := s.putMember(m)
	e.suspectAt = s.now
	s.rumour(false, m.ID, from)
	if m.Listed() {
		s.note(NoteMemberJoined, m.ID)
	}
	return false
}

// judge decides what a newer record of a known member makes of it. Nobody's
// word alone makes a live member dead: it is suspected first, so that it has
// the time to refute; and a running suspicion ends by this node's own clock.
// Without that, the news of a node that was itself cut off would make live
// members flap.
func (s *State) judge(cur *memberEntry, m Member) (Member, bool) {
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

// accuse raises a suspicion by this node's own finding.
func (s *State) accuse(e *memberEntry) {
	if e.State != MemberAlive {
		return
	}
	m := e.Member
	m.State = MemberSuspect
	s.putMember(m)
	e.suspectAt = s.now
	e.accusedHere = true
	s.rumour(false, m.ID, "")
	s.noteMember(e)
}

// suspicionTime grows with the logarithm of the data centre's size, as the
// time that a refutation needs to spread does.
func (s *State) suspicionTime(dataCentre string) time.Duration {
	t := s.timing.Suspicion
	for n := len(s.listed[dataCentre]); n >= 10; n /= 10 {
		t += s.timing.Suspicion
	}
	return t
}

// endSuspicions declares dead the members that did not refute in time. An
// isolated node declares nobody dead: its own cut looks like everybody's death.
func (s *State) endSuspicions() {
	if len(s.suspects) == 0 || s.isolated || s.quiet() {
		return
	}
	for _, id := range sortedKeys(s.suspects) {
		e := s.members[id]
		if s.now.Sub(e.suspectAt) < s.suspicionTime(e.DataCentre) {
			continue
		}
		m := e.Member
		m.State = MemberDead
		m.EndedMS = 0
		s.putMember(m)
		s.rumour(false, id, "")
		s.noteMember(e)
	}
}

// quiet reports whether the node was frozen a short while ago.
func (s *State) quiet() bool {
	return s.now.Before(s.quietUntil)
}

func (s *State) noteMember(e *memberEntry) {
	switch e.State {
	case MemberSuspect:
		s.note(NoteMemberSuspected, e.ID)
	case MemberDead:
		s.note(NoteMemberDead, e.ID)
	case MemberLeft:
		s.note(NoteMemberLeft, e.ID)
	}
}

// wire returns the record as it is sent.
func (e *memberEntry) wire(now time.Time) Member {
	m := e.Member
	if !m.Listed() {
		m.EndedMS = now.Sub(e.endedAt).Milliseconds()
	}
	return m
}

// peers returns the listed members of a data centre without this node.
func (s *State) peers(dataCentre string) []*memberEntry {
	list := slices.Clone(s.listed[dataCentre])
	return slices.DeleteFunc(list, func(e *memberEntry) bool { return e.ID == s.self })
}

// contactList returns the members of this data centre that the node talks to:
// all of them, this node included, in a small one; else those with the highest
// rendezvous hashes for the pair. That is a random graph, in which news takes a
// few steps more than among all, and a node has a bounded number of
// connections.
func (s *State) contactList() []*memberEntry {
	list := s.listed[s.me().DataCentre]
	if len(list) <= 2*s.timing.Contacts {
		return list
	}
	if s.contactsVersion != s.membersVersion || s.contacts == nil {
		own := s.me().score
		s.contactsVersion = s.membersVersion
		s.contacts = highest(s.peers(s.me().DataCentre), s.timing.Contacts, func(e *memberEntry) uint64 {
			return mix(e.score ^ own)
		})
	}
	return s.contacts
}

// randomPeers returns up to n of the node's contacts, other than this node and
// the one named.
func (s *State) randomPeers(n int, except string) []*memberEntry {
	list := s.contactList()
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

// sortedKeys returns a map's keys in order, so that a run can be repeated.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
