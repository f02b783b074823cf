package membership

import (
	"slices"

	"wigeonbay/internal/api"
)

const (
	// bucketLimit bounds the parts that one message takes further.
	bucketLimit = 256
	// recordsLimit bounds the records in one message.
	recordsLimit = 128
)

// syncLocal compares digests with a random member of this data centre.
func (s *State) syncLocal() {
	for _, e := range s.randomPeers(1, "") {
		s.send(e, s.rootDigest())
	}
}

func (s *State) rootDigest() Message {
	return Message{Kind: KindDigest, Buckets: []Bucket{s.tree.bucket(0, 0)}}
}

// onDigest answers the parts that differ with their own parts, and the
// smallest ones with their keys.
func (s *State) onDigest(m Message) {
	down := Message{Kind: KindDigest}
	keys := Message{Kind: KindKeys}
	differing := 0
	for _, b := range m.Buckets {
		if !b.valid() || s.tree.bucket(b.Depth, b.Index) == b || differing == bucketLimit {
			continue
		}
		differing++
		if b.Depth == treeDepth {
			s.addLeaf(&keys, b.Index)
			continue
		}
		for child := range uint16(treeChildren) {
			down.Buckets = append(down.Buckets, s.tree.bucket(b.Depth+1, b.Index*treeChildren+child))
		}
	}
	if len(down.Buckets) > 0 {
		s.answer(m, down)
	}
	if len(keys.Buckets) > 0 {
		s.answer(m, keys)
	}
	if differing == 0 && m.Sequence != 0 {
		s.answer(m, Message{Kind: KindAck, Sequence: m.Sequence})
	}
}

func (s *State) addLeaf(m *Message, leaf uint16) {
	m.Buckets = append(m.Buckets, Bucket{Depth: treeDepth, Index: leaf})
	for _, name := range s.tree.names(leaf) {
		m.Keys = append(m.Keys, Key{Name: name, Version: s.tree.leaves[leaf][name].version})
	}
}

// onKeys asks for the records that this node lacks, and sends those that the
// peer lacks or has in another version; a peer with a newer one sends it back.
func (s *State) onKeys(m Message) {
	theirs := make(map[uint64]uint64, len(m.Keys))
	want := Message{Kind: KindWant}
	for _, k := range m.Keys {
		theirs[k.Name] = k.Version
		if _, ok := s.tree.find(k.Name); !ok {
			want.Wanted = append(want.Wanted, k.Name)
		}
	}
	var names []uint64
	for _, b := range m.Buckets {
		if !b.valid() || b.Depth != treeDepth {
			continue
		}
		for name, r := range s.tree.leaves[b.Index] {
			if theirs[name] != r.version {
				names = append(names, name)
			}
		}
	}
	if len(want.Wanted) > 0 {
		s.answer(m, want)
	}
	s.sendRecords(m, names)
}

func (s *State) onWant(m Message) {
	s.sendRecords(m, m.Wanted)
}

func (s *State) sendRecords(m Message, names []uint64) {
	slices.Sort(names)
	for chunk := range slices.Chunk(names, recordsLimit) {
		reply := Message{Kind: KindRecords}
		for _, name := range chunk {
			if r, ok := s.tree.find(name); ok {
				s.addRecord(&reply, recordKey{target: r.target, name: r.name})
			}
		}
		s.answer(m, reply)
	}
}

// onRecords takes in records. A bulk of them from the own data centre is a
// transfer to this node alone, and no news to the others.
func (s *State) onRecords(m Message) {
	sender := s.members[m.From]
	sameDC := sender != nil && sender.DataCentre == s.me().DataCentre
	s.muted = sameDC && len(m.Members)+len(m.Targets) > bulk
	s.takeRecords(m)
	s.muted = false
}

// wantRecord asks a peer for one record.
func (s *State) wantRecord(m Message, target bool, name string) {
	s.answer(m, Message{Kind: KindWant, Wanted: []uint64{nameHash(target, name)}})
}

// forget drops the records of what ended longer ago than the retention.
func (s *State) forget() {
	for id, e := range s.members {
		if !e.Listed() && id != s.self && s.now.Sub(e.endedAt) >= s.timing.Retention {
			s.tree.set(false, id, 0)
			delete(s.members, id)
		}
	}
	for id, t := range s.targets {
		if t.State() == api.TargetGone && s.now.Sub(t.goneAt) >= s.timing.Retention {
			s.dropTarget(id)
		}
	}
}
