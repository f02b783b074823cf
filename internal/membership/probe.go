package membership

import (
	"slices"
	"time"
)

// maxHealthScore bounds the local health score (Lifeguard). The score rises
// when the node's own probes fail or when the node is itself suspected. Each
// point lengthens the probe timeout and interval by their base value, so that a
// node that is itself slow suspects others later.
const maxHealthScore = 4

// relayLifetime is how long a node remembers a probe that it relays.
const relayLifetime = 2 * time.Second

// probeState is the state of a node's own probes and of those that it relays.
type probeState struct {
	order       []string
	pending     probe
	healthScore int
	relays      map[uint64]relay
}

// probe is a probe that waits for its answer; member is empty when there is
// none.
type probe struct {
	member   string
	sequence uint64
	sentAt   time.Time
	indirect bool
}

// relay is a probe made on behalf of another node.
type relay struct {
	requester string
	sequence  uint64
	at        time.Time
}

// startNextProbe finishes the last probe and probes the next contact, in a
// random order that reaches each contact once a round.
func (s *State) startNextProbe() {
	s.finishProbe()
	e := s.nextProbeMember()
	if e == nil {
		return
	}
	s.probes.pending = probe{member: e.ID, sequence: s.nextSequence(), sentAt: s.now}
	s.ping(e, s.probes.pending.sequence)
}

// ping probes a member. It tells a suspected member of the suspicion, so that
// the member can refute it.
func (s *State) ping(e *memberEntry, sequence uint64) {
	m := Message{Kind: KindPing, Sequence: sequence}
	if e.State == MemberSuspect {
		m.Members = []Member{e.wireRecord(s.now)}
	}
	s.send(e, m)
}

func (s *State) finishProbe() {
	failed := s.probes.pending
	s.probes.pending = probe{}
	if failed.member == "" || s.settling() || s.isolated {
		return
	}
	s.raiseHealthScore()
	if e := s.members[failed.member]; e != nil && e.heardAt.Before(failed.sentAt) {
		s.suspectMember(e)
	}
}

func (s *State) raiseHealthScore() {
	s.probes.healthScore = min(maxHealthScore, s.probes.healthScore+1)
}

func (s *State) nextProbeMember() *memberEntry {
	for range 2 {
		for len(s.probes.order) > 0 {
			id := s.probes.order[0]
			s.probes.order = s.probes.order[1:]
			if e := s.members[id]; e != nil && e.Listed() {
				return e
			}
		}
		for _, e := range s.contactMembers() {
			if e.ID != s.self {
				s.probes.order = append(s.probes.order, e.ID)
			}
		}
		order := s.probes.order
		s.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return nil
}

// startIndirectProbes asks other members to probe once the direct probe has
// timed out.
func (s *State) startIndirectProbes() {
	p := &s.probes.pending
	wait := s.timing.ProbeTimeout * time.Duration(1+s.probes.healthScore)
	if p.member == "" || p.indirect || s.now.Sub(p.sentAt) < wait {
		return
	}
	p.indirect = true
	for _, prober := range s.indirectProbers(p.member) {
		s.send(prober, Message{Kind: KindPingFor, Sequence: p.sequence, Subject: p.member})
	}
}

// indirectProbers returns members to probe through: of this data centre, and
// bridges of others when this one has too few.
func (s *State) indirectProbers(member string) []*memberEntry {
	list := s.randomPeers(s.timing.IndirectProbes, member)
	for _, dc := range s.otherDataCentres() {
		if len(list) >= s.timing.IndirectProbes {
			break
		}
		if bridges := s.remoteBridges(dc); len(bridges) > 0 {
			list = append(list, bridges[0])
		}
	}
	return list
}

func (s *State) onPing(m Message) {
	s.replyTo(m, Message{Kind: KindAck, Sequence: m.Sequence})
	if len(m.Members) > 0 {
		s.applyRecords(m)
		s.replyToIntroduction(m)
	}
}

// replyToIntroduction answers a ping in which the sender introduces itself with
// this node's own record and a digest of the rest. The sender may not know this
// node even if this node knows the sender, for example if the sender left or died
// and its VM has started again.
func (s *State) replyToIntroduction(m Message) {
	introduced := slices.ContainsFunc(m.Members, func(r Member) bool { return r.ID == m.From })
	if !introduced {
		return
	}
	s.replyTo(m, Message{Kind: KindRecords, Members: []Member{s.localNode().Member}})
	s.replyTo(m, s.rootDigest())
}

// replyTo sends a reply to the sender of a message, if the sender is a known
// member.
func (s *State) replyTo(m Message, reply Message) {
	if e := s.members[m.From]; e != nil {
		s.send(e, reply)
	}
}

func (s *State) onPingFor(m Message) {
	e := s.members[m.Subject]
	if e == nil {
		return
	}
	sequence := s.nextSequence()
	s.probes.relays[sequence] = relay{requester: m.From, sequence: m.Sequence, at: s.now}
	s.ping(e, sequence)
}

func (s *State) onAck(m Message) {
	if r, ok := s.probes.relays[m.Sequence]; ok {
		delete(s.probes.relays, m.Sequence)
		if requester := s.members[r.requester]; requester != nil {
			s.send(requester, Message{Kind: KindAck, Sequence: r.sequence, Subject: m.From})
		}
		return
	}
	if s.probes.pending.member != "" && s.probes.pending.sequence == m.Sequence {
		s.probes.pending = probe{}
		s.probes.healthScore = max(0, s.probes.healthScore-1)
	}
}

func (s *State) dropExpiredRelays() {
	for sequence, r := range s.probes.relays {
		if s.now.Sub(r.at) > relayLifetime {
			delete(s.probes.relays, sequence)
		}
	}
}
