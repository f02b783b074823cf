package membership

import (
	"slices"

	"wigeonbay/internal/api"
)

const (
	// bucketLimit bounds the differing buckets handled for one message.
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

// onDigest answers each differing bucket with its children, and each differing
// leaf with its keys. A digest without differences is acknowledged if it has a
// sequence number.
func (s *State) onDigest(m Message) {
	children := Message{Kind: KindDigest}
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
			children.Buckets = append(children.Buckets, s.tree.bucket(b.Depth+1, b.Index*treeChildren+child))
		}
	}
	if len(children.Buckets) > 0 {
		s.replyTo(m, children)
	}
	if len(keys.Buckets) > 0 {
		s.replyTo(m, keys)
	}
	if differing == 0 && m.Sequence != 0 {
		s.replyTo(m, Message{Kind: KindAck, Sequence: m.Sequence})
	}
}

func (s *State) addLeaf(m *Message, leaf uint16) {
	m.Buckets = append(m.Buckets, Bucket{Depth: treeDepth, Index: leaf})
	for _, name := range s.tree.names(leaf) {
		m.Keys = append(m.Keys, Key{Name: name, Version: s.tree.leaves[leaf][name].version})
	}
}

// onKeys requests the records that this node lacks, and sends those that the
// peer lacks or has in another version; a peer with a newer version sends it
// back.
func (s *State) onKeys(m Message) {
	peerVersions := make(map[uint64]uint64, len(m.Keys))
	want := Message{Kind: KindWant}
	for _, k := range m.Keys {
		peerVersions[k.Name] = k.Version
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
			if peerVersions[name] != r.version {
				names = append(names, name)
			}
		}
	}
	if len(want.Wanted) > 0 {
		s.replyTo(m, want)
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
		s.replyTo(m, reply)
	}
}

// onRecords applies records. More than bulkTransferSize of them from a member
// of the same data centre are a state transfer to this node and are not spread
// further.
func (s *State) onRecords(m Message) {
	sender := s.members[m.From]
	sameDC := sender != nil && sender.DataCentre == s.localNode().DataCentre
	s.suppressRumours = sameDC && len(m.Members)+len(m.Targets) > bulkTransferSize
	s.applyRecords(m)
	s.suppressRumours = false
}

// requestRecord asks the sender of a message for one record.
func (s *State) requestRecord(m Message, target bool, name string) {
	s.replyTo(m, Message{Kind: KindWant, Wanted: []uint64{nameHash(target, name)}})
}

// purge drops the records of members and targets that ended longer ago than the
// retention.
func (s *State) purge() {
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
