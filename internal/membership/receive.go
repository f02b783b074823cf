package membership

import "time"

// notifyInterval is the least time between two messages that tell a member that
// it is believed suspect or dead.
const notifyInterval = time.Second

// receive handles a message. One addressed to another id was meant for an
// earlier process at this address and must not be answered on its behalf. Only
// a ping may come without an id, since a node that joins may not know the id at
// a seed's address.
func (s *State) receive(m Message) {
	introduction := m.To == "" && m.Kind == KindPing
	if m.From == s.self || m.To != s.self && !introduction {
		return
	}
	s.recordSender(m)
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

// recordSender records that the sender is alive, which ends this node's
// isolation, adds an unknown sender that introduces itself, and notifies a
// sender that is believed suspect or dead.
func (s *State) recordSender(m Message) {
	s.heardAt = s.now
	if s.isolated {
		s.endIsolation()
	}
	e := s.members[m.From]
	if e == nil {
		e = s.addIntroducedMember(m)
	}
	if e == nil {
		return
	}
	e.heardAt = s.now
	if e.DataCentre != s.localNode().DataCentre {
		s.bridgeState.heard[e.DataCentre] = s.now
	}
	suspectedOrDead := e.State == MemberSuspect || e.State == MemberDead
	if suspectedOrDead && s.now.Sub(e.notifiedAt) >= notifyInterval {
		e.notifiedAt = s.now
		s.send(e, Message{Kind: KindRecords, Members: []Member{e.wireRecord(s.now)}})
	}
}

// addIntroducedMember adds an unknown sender whose message carries its own
// record.
func (s *State) addIntroducedMember(m Message) *memberEntry {
	for _, r := range m.Members {
		if r.ID != m.From {
			continue
		}
		s.applyMember(r, m.From)
		return s.members[m.From]
	}
	return nil
}

// detectPause detects from the time since the last tick that the process was
// paused. Its state may be out of date: it drops its pending probe, rumours and
// pushes, restarts suspicions and leases, suspects nobody for SettleTime, and
// compares digests to get what it missed.
func (s *State) detectPause() {
	if s.lastTick.IsZero() {
		return
	}
	gap := s.now.Sub(s.lastTick)
	if gap < s.timing.MinPause {
		return
	}
	s.logEvent(LogPaused, gap.String())
	s.lastTick = s.now
	s.heardAt = s.now
	s.settlingUntil = s.now.Add(s.timing.SettleTime)
	s.probes.pending = probe{}
	clear(s.rumours)
	clear(s.pendingPushes)
	for id := range s.suspects {
		s.members[id].suspectAt = s.now
	}
	s.restartLeases()
	clear(s.bridgeState.active)
	s.sched.sync = s.now
	if gap >= s.timing.Retention {
		s.purgeAll()
	}
}

// purgeAll drops every record but the node's own: peers may already have
// dropped the records that would supersede those held here.
func (s *State) purgeAll() {
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
		t.graceStart = s.now
		t.leaseCheckedAt = time.Time{}
	}
}

// detectIsolation marks the node as isolated when no peer has been heard from
// for IsolatedAfter.
func (s *State) detectIsolation() {
	silent := s.now.Sub(s.heardAt) > s.timing.IsolatedAfter
	if s.isolated || !silent || len(s.otherListedIDs()) == 0 {
		return
	}
	s.isolated = true
	s.logEvent(LogIsolated, s.self)
}

// endIsolation withdraws the suspicions that this node started, since its own
// isolation caused them, and restarts the other suspicions and the leases.
func (s *State) endIsolation() {
	s.isolated = false
	for _, id := range sortedKeys(s.suspects) {
		e := s.members[id]
		if !e.suspectedHere {
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
