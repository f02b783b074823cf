package membership

import (
	"slices"
	"time"
)

// healthLimit bounds the local health score (Lifeguard): a node whose own
// probes fail or that is itself accused waits up to this many times longer
// before it accuses.
const healthLimit = 4

// relayLifetime is how long a node remembers for whom it probes.
const relayLifetime = 2 * time.Second

// probing is the state of a node's own probes and of those for others.
type probing struct {
	order   []string
	pending probe
	health  int
	relays  map[uint64]relay
}

// probe is a probe that waits for its answer; its target is empty when none
// does.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Time
	indirect bool
}

// relay is a probe made for another node.
type relay struct {
	origin   string
	sequence uint64
	at       time.Time
}

// probeNext judges the last probe and starts one of the next contact, in a
// random order that reaches each once a round.
func (s *State) probeNext() {
	s.judgeProbe()
	e := s.nextProbed()
	if e == nil {
		return
	}
	s.probes.pending = probe{target: e.ID, sequence: s.nextSequence(), sentAt: s.now}
	s.ping(e, s.probes.pending.sequence)
}

// ping probes a member, and tells it of a suspicion so that it can refute.
func (s *State) ping(e *memberEntry, sequence uint64) {
	m := Message{Kind: KindPing, Sequence: sequence}
	if e.State == MemberSuspect {
		m.Members = []Member{e.wire(s.now)}
	}
	s.send(e, m)
}

func (s *State) judgeProbe() {
	failed := s.probes.pending
	s.probes.pending = probe{}
	if failed.target == "" || s.quiet() || s.isolated {
		return
	}
	s.raiseHealth()
	if e := s.members[failed.target]; e != nil && e.heardAt.Before(failed.sentAt) {
		s.accuse(e)
	}
}

func (s *State) raiseHealth() {
	s.probes.health = min(healthLimit, s.probes.health+1)
}

func (s *State) nextProbed() *memberEntry {
	for range 2 {
		for len(s.probes.order) > 0 {
			id := s.probes.order[0]
			s.probes.order = s.probes.order[1:]
			if e := s.members[id]; e != nil && e.Listed() {
				return e
			}
		}
		for _, e := range s.contactList() {
			if e.ID != s.self {
				s.probes.order = append(s.probes.order, e.ID)
			}
		}
		order := s.probes.order
		s.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return nil
}

// stepProbes turns to other members when a direct probe waits too long.
func (s *State) stepProbes() {
	p := &s.probes.pending
	wait := s.timing.ProbeTimeout * time.Duration(1+s.probes.health)
	if p.target == "" || p.indirect || s.now.Sub(p.sentAt) < wait {
		return
	}
	p.indirect = true
	for _, helper := range s.helpers(p.target) {
		s.send(helper, Message{Kind: KindPingFor, Sequence: p.sequence, Subject: p.target})
	}
}

// helpers returns members to probe through: of this data centre, and of others
// when this one has too few.
func (s *State) helpers(target string) []*memberEntry {
	list := s.randomPeers(s.timing.IndirectProbes, target)
	for _, dc := range s.otherDataCentres() {
		if len(list) >= s.timing.IndirectProbes {
			break
		}
		if bridges := s.farBridges(dc); len(bridges) > 0 {
			list = append(list, bridges[0])
		}
	}
	return list
}

func (s *State) onPing(m Message) {
	s.answer(m, Message{Kind: KindAck, Sequence: m.Sequence})
	if len(m.Members) > 0 {
		s.takeRecords(m)
		s.introduceInTurn(m)
	}
}

// introduceInTurn answers a ping whose sender introduces itself with this
// node's own record and a digest of the rest. The sender doesn't know this
// node, also when this node knows it: as a member that left or died, whose VM
// has started again.
func (s *State) introduceInTurn(m Message) {
	introduced := slices.ContainsFunc(m.Members, func(r Member) bool { return r.ID == m.From })
	if !introduced {
		return
	}
	s.answer(m, Message{Kind: KindRecords, Members: []Member{s.me().Member}})
	s.answer(m, s.rootDigest())
}

// answer replies to a message of a member that is known.
func (s *State) answer(m Message, reply Message) {
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
	s.probes.relays[sequence] = relay{origin: m.From, sequence: m.Sequence, at: s.now}
	s.ping(e, sequence)
}

func (s *State) onAck(m Message) {
	if r, ok := s.probes.relays[m.Sequence]; ok {
		delete(s.probes.relays, m.Sequence)
		if origin := s.members[r.origin]; origin != nil {
			s.send(origin, Message{Kind: KindAck, Sequence: r.sequence, Subject: m.From})
		}
		return
	}
	if s.probes.pending.target != "" && s.probes.pending.sequence == m.Sequence {
		s.probes.pending = probe{}
		s.probes.health = max(0, s.probes.health-1)
	}
}

func (s *State) dropOldRelays() {
	for sequence, r := range s.probes.relays {
		if s.now.Sub(r.at) > relayLifetime {
			delete(s.probes.relays, sequence)
		}
	}
}
