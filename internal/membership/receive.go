package membership

import "time"

// tellInterval is the least time between two messages that tell a member what
// it is accused of.
const tellInterval = time.Second

// receive takes a message. One that is addressed to another member was meant
// for an earlier process at this address and must not be answered for it. Only
// an introduction may come without a name.
func (s *State) receive(m Message) {
	introduction := m.To == "" && m.Kind == KindPing
	if m.From == s.self || m.To != s.self && !introduction {
		return
	}
	s.heard(m)
	switch m.Kind {
	case KindPing:
		s.onPing(m)
	case KindAck:
		s.onAck(m)
	case KindPingFor:
		s.onPingFor(m)
	case KindPush:
		s.onPush(m)
	case KindOffer:
		s.onOffer(m)
	case KindPushAck:
		s.onPushAck(m)
	case KindDigest:
		s.onDigest(m)
	case KindKeys:
		s.onKeys(m)
	case KindWant:
		s.onWant(m)
	case KindRecords:
		s.onRecords(m)
	case KindRenew:
		s.onRenew(m)
	case KindLeaseCheck:
		s.onLeaseCheck(m)
	}
}

// heard notes that the sender lives, takes its introduction, and tells it when
// it is accused.
func (s *State) heard(m Message) {
	s.heardAt = s.now
	if s.isolated {
		s.endIsolation()
	}
	e := s.members[m.From]
	if e == nil {
		e = s.meet(m)
	}
	if e == nil {
		return
	}
	e.heardAt = s.now
	if e.DataCentre != s.me().DataCentre {
		s.bridging.heard[e.DataCentre] = s.now
	}
	accused := e.State == MemberSuspect || e.State == MemberDead
	if accused && s.now.Sub(e.toldAt) >= tellInterval {
		e.toldAt = s.now
		s.send(e, Message{Kind: KindRecords, Members: []Member{e.wire(s.now)}})
	}
}

// meet takes in a sender that introduces itself.
func (s *State) meet(m Message) *memberEntry {
	for _, r := range m.Members {
		if r.ID != m.From {
			continue
		}
		s.applyMember(r, m.From)
		return s.members[m.From]
	}
	return nil
}

// noticeFreeze tells from a gap between ticks that this node stood still. What
// it knew may be old: it accuses nobody, ends no lease and pushes nothing for
// a while, and asks its peers for what it missed.
func (s *State) noticeFreeze() {
	if s.lastTick.IsZero() {
		return
	}
	gap := s.now.Sub(s.lastTick)
	if gap < s.timing.FrozenGap {
		return
	}
	s.note(NoteFrozen, gap.String())
	s.lastTick = s.now
	s.heardAt = s.now
	s.quietUntil = s.now.Add(s.timing.Settle)
	s.probes.pending = probe{}
	clear(s.rumours)
	clear(s.pushes)
	for id := range s.suspects {
		s.members[id].suspectAt = s.now
	}
	s.restartLeases()
	clear(s.bridging.active)
	s.sched.sync = s.now
	if gap >= s.timing.Retention {
		s.forgetAll()
	}
}

// forgetAll drops everything but the node itself: the others may have
// forgotten what would contradict it.
func (s *State) forgetAll() {
	for _, id := range sortedKeys(s.members) {
		if id == s.self {
			continue
		}
		e := s.members[id]
		m := e.Member
		m.State = MemberLeft
		s.putMember(m)
		s.tree.set(false, id, 0)
		delete(s.members, id)
	}
	for id := range s.targets {
		s.dropTarget(id)
	}
}

func (s *State) restartLeases() {
	for _, t := range s.owned {
		t.graceFrom = s.now
		t.checkedAt = time.Time{}
	}
}

// noticeIsolation tells when nobody at all has been heard from for long.
func (s *State) noticeIsolation() {
	silent := s.now.Sub(s.heardAt) > s.timing.IsolatedAfter
	if s.isolated || !silent || len(s.suspectsAndLive()) == 0 {
		return
	}
	s.isolated = true
	s.note(NoteIsolated, s.self)
}

// endIsolation takes back the suspicions that this node raised: they came from
// its own cut.
func (s *State) endIsolation() {
	s.isolated = false
	for _, id := range sortedKeys(s.suspects) {
		e := s.members[id]
		if !e.accusedHere {
			e.suspectAt = s.now
			continue
		}
		m := e.Member
		m.State = MemberAlive
		s.putMember(m)
		delete(s.rumours, recordKey{name: id})
	}
	s.probes.pending = probe{}
	s.restartLeases()
	s.sched.sync = s.now
}
