package membership

import "slices"

// pushTo sends a peer the rumours that it isn't known to have. In a large data
// centre records of targets are only named, unless the news began here: the
// peer often has them. In a small one that would save little, and a lost
// message more would cost a round.
func (s *State) pushTo(peer *memberEntry, rumours []*rumour) {
	naming := !s.small()
	var whole, named []*rumour
	for _, r := range rumours {
		if _, ok := r.known[peer.ID]; ok {
			continue
		}
		if naming && r.key.target && !(r.origin && r.rounds <= 1) {
			named = append(named, r)
		} else {
			whole = append(whole, r)
		}
	}
	s.sendWhole(peer, whole)
	s.sendOffer(peer, named)
}

func (s *State) sendWhole(peer *memberEntry, rumours []*rumour) {
	for chunk := range slices.Chunk(rumours, pushLimit) {
		m := Message{Kind: KindPush, Sequence: s.nextSequence()}
		for _, r := range chunk {
			s.addRecord(&m, r.key)
		}
		s.pushes[m.Sequence] = pushed{to: peer.ID, rumours: chunk, at: s.now}
		s.send(peer, m)
	}
}

func (s *State) sendOffer(peer *memberEntry, rumours []*rumour) {
	for chunk := range slices.Chunk(rumours, pushLimit) {
		m := Message{Kind: KindOffer, Sequence: s.nextSequence()}
		for _, r := range chunk {
			name := nameHash(true, r.key.name)
			held, _ := s.tree.find(name)
			m.Keys = append(m.Keys, Key{Name: name, Version: held.version})
		}
		s.pushes[m.Sequence] = pushed{to: peer.ID, rumours: chunk, at: s.now, offer: true}
		s.send(peer, m)
	}
}

// onOffer answers which of the named records this node has in that version.
func (s *State) onOffer(m Message) {
	var known uint64
	for i, k := range m.Keys[:min(len(m.Keys), pushLimit)] {
		held, ok := s.tree.find(k.Name)
		if !ok || held.version != k.Version {
			continue
		}
		known |= 1 << i
		s.markKnown(recordKey{target: held.target, name: held.name}, m.From, false)
	}
	s.answer(m, Message{Kind: KindPushAck, Sequence: m.Sequence, Known: known})
}

// onPushAck notes who has a rumour now, and sends the records of an offer that
// the receiver lacks.
func (s *State) onPushAck(m Message) {
	p, ok := s.pushes[m.Sequence]
	if !ok || p.to != m.From {
		return
	}
	delete(s.pushes, m.Sequence)
	var lacking []*rumour
	for i, r := range membersFirst(p.rumours) {
		if s.rumours[r.key] != r {
			continue
		}
		known := m.Known&(1<<i) != 0
		if p.offer && !known {
			lacking = append(lacking, r)
			continue
		}
		r.known[m.From] = struct{}{}
		if known {
			r.duplicates++
		}
	}
	if peer := s.members[m.From]; peer != nil {
		s.sendWhole(peer, lacking)
	}
}

// membersFirst returns rumours in the order of the bits of Message.Known.
func membersFirst(rumours []*rumour) []*rumour {
	list := slices.Clone(rumours)
	slices.SortStableFunc(list, func(a, b *rumour) int {
		return boolRank(a.key.target) - boolRank(b.key.target)
	})
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
