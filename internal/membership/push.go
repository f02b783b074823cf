package membership

import "slices"

// pushTo sends a peer the rumours that it isn't known to have. In a large data
// centre the records of targets are only offered by name and version, since
// peers often have them already; only the first push of a change made at this
// node carries the record. In a small data centre offers would save little, and
// each adds a message whose loss costs a round.
func (s *State) pushTo(peer *memberEntry, rumours []*rumour) {
	offerTargets := !s.smallDataCentre()
	var full, offered []*rumour
	for _, r := range rumours {
		if _, ok := r.known[peer.ID]; ok {
			continue
		}
		if offerTargets && r.key.target && !(r.originatedHere && r.rounds <= 1) {
			offered = append(offered, r)
		} else {
			full = append(full, r)
		}
	}
	s.sendPush(peer, full)
	s.sendOffer(peer, offered)
}

func (s *State) sendPush(peer *memberEntry, rumours []*rumour) {
	for chunk := range slices.Chunk(rumours, pushLimit) {
		m := Message{Kind: KindPush, Sequence: s.nextSequence()}
		for _, r := range chunk {
			s.addRecord(&m, r.key)
		}
		s.pendingPushes[m.Sequence] = pendingPush{to: peer.ID, rumours: chunk, at: s.now}
		s.send(peer, m)
	}
}

func (s *State) sendOffer(peer *memberEntry, rumours []*rumour) {
	for chunk := range slices.Chunk(rumours, pushLimit) {
		m := Message{Kind: KindOffer, Sequence: s.nextSequence()}
		for _, r := range chunk {
			name := nameHash(true, r.key.name)
			stored, _ := s.tree.find(name)
			m.Keys = append(m.Keys, Key{Name: name, Version: stored.version})
		}
		s.pendingPushes[m.Sequence] = pendingPush{to: peer.ID, rumours: chunk, at: s.now, offer: true}
		s.send(peer, m)
	}
}

// onOffer answers which of the offered records this node has in the offered
// version.
func (s *State) onOffer(m Message) {
	var known uint64
	for i, k := range m.Keys[:min(len(m.Keys), pushLimit)] {
		stored, ok := s.tree.find(k.Name)
		if !ok || stored.version != k.Version {
			continue
		}
		known |= 1 << i
		s.markKnown(recordKey{target: stored.target, name: stored.name}, m.From, false)
	}
	s.replyTo(m, Message{Kind: KindPushAck, Sequence: m.Sequence, Known: known})
}

// onPushAck records which rumours the receiver now has, and sends it the
// offered records that it lacks.
func (s *State) onPushAck(m Message) {
	p, ok := s.pendingPushes[m.Sequence]
	if !ok || p.to != m.From {
		return
	}
	delete(s.pendingPushes, m.Sequence)
	var missing []*rumour
	for i, r := range membersFirst(p.rumours) {
		if s.rumours[r.key] != r {
			continue
		}
		known := m.Known&(1<<i) != 0
		if p.offer && !known {
			missing = append(missing, r)
			continue
		}
		r.known[m.From] = struct{}{}
		if known {
			r.duplicates++
		}
	}
	if peer := s.members[m.From]; peer != nil {
		s.sendPush(peer, missing)
	}
}

// membersFirst returns rumours in the order of the bits of Message.Known:
// members, then targets.
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
