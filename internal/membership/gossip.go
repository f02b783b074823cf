package membership

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
)

// pushLimit bounds the records in one push; Message.Known has a bit for each.
const pushLimit = 64

// pushLifetime is how long a push waits for its acknowledgement.
const pushLifetime = 2 * time.Second

// bulkTransferSize is the number of records above which a message between
// members of a data centre is a state transfer to its receiver, whose records
// are not spread further.
const bulkTransferSize = 32

// recordKey identifies a record: by a member's id or a target's name.
type recordKey struct {
	target bool
	name   string
}

// rumour is a record that this node still pushes to peers.
type rumour struct {
	key recordKey
	// known holds the members that have the record: they sent or acknowledged
	// it.
	known map[string]struct{}
	// duplicates counts the receivers that already had the record.
	duplicates int
	rounds     int
	// originatedHere is set for a change made at this node, which no other node
	// has yet when the rumour starts.
	originatedHere bool
}

// pendingPush is a push or an offer that waits for its acknowledgement.
type pendingPush struct {
	to      string
	rumours []*rumour
	at      time.Time
	// offer is set when the records were only named.
	offer bool
}

// addRumour starts to push a record; from is the member that sent it, empty for
// a change made at this node.
func (s *State) addRumour(target bool, name, from string) *rumour {
	if s.suppressRumours {
		return nil
	}
	key := recordKey{target: target, name: name}
	r := &rumour{key: key, known: map[string]struct{}{}, originatedHere: from == ""}
	if from != "" {
		r.known[from] = struct{}{}
	}
	s.rumours[key] = r
	s.newRumours = append(s.newRumours, r)
	return r
}

// pushNewRumours pushes the rumours added in this step at once. In a large data
// centre a rumour from a peer waits for the next round unless it is urgent, so
// that one message carries many.
func (s *State) pushNewRumours() {
	if len(s.newRumours) == 0 {
		return
	}
	newRumours := slices.DeleteFunc(s.newRumours, func(r *rumour) bool {
		return s.rumours[r.key] != r || !r.originatedHere && !s.smallDataCentre() && !s.urgent(r.key)
	})
	s.newRumours = nil
	s.push(newRumours)
}

// urgent reports whether a record must reach every node within seconds: that of
// a member, or of a target in a state that accepts no work.
func (s *State) urgent(key recordKey) bool {
	if !key.target {
		return true
	}
	t := s.targets[api.TargetID(key.name)]
	return t != nil && !t.State().AcceptsWork()
}

// gossip runs one round: it drops expired pushes and relays and fully spread
// rumours, and pushes the other rumours again.
func (s *State) gossip() {
	for seq, p := range s.pendingPushes {
		if s.now.Sub(p.at) > pushLifetime {
			delete(s.pendingPushes, seq)
		}
	}
	s.dropExpiredRelays()
	if len(s.rumours) == 0 {
		return
	}
	var live []*rumour
	for key, r := range s.rumours {
		if s.fullySpread(r) {
			delete(s.rumours, key)
			continue
		}
		live = append(live, r)
	}
	slices.SortFunc(live, compareRumours)
	s.push(live)
}

func compareRumours(a, b *rumour) int {
	if a.key.target != b.key.target {
		return boolRank(a.key.target) - boolRank(b.key.target)
	}
	return strings.Compare(a.key.name, b.key.name)
}

// fullySpread reports whether a rumour needs no more pushing. In a small data
// centre each peer has to acknowledge it; in a large one it is enough that a
// number of receivers already had it, and the digest comparison repairs the
// rest. The number of rounds is bounded in both.
func (s *State) fullySpread(r *rumour) bool {
	if r.rounds >= s.timing.GossipRounds {
		return true
	}
	if !s.smallDataCentre() {
		return r.duplicates >= s.duplicateLimit(r.key)
	}
	for _, e := range s.gossipPeers(s.crossesDataCentres(r)) {
		if _, ok := r.known[e.ID]; !ok {
			return false
		}
	}
	return true
}

func (s *State) duplicateLimit(key recordKey) int {
	if key.target && s.urgent(key) {
		return s.timing.DrainDuplicateLimit
	}
	return s.timing.DuplicateLimit
}

// smallDataCentre reports whether this data centre is small enough to push to
// all of its members.
func (s *State) smallDataCentre() bool {
	return len(s.listed[s.localNode().DataCentre]) <= 2*s.timing.Fanout
}

// gossipPeers returns the peers of one round. With crossing, those of a bridge
// include the bridges of the other data centres.
func (s *State) gossipPeers(crossing bool) []*memberEntry {
	var peers []*memberEntry
	if s.smallDataCentre() {
		peers = s.peers(s.localNode().DataCentre)
	} else {
		peers = s.randomPeers(s.timing.Fanout, "")
	}
	if !crossing {
		return peers
	}
	for _, dc := range s.otherDataCentres() {
		if s.isBridge(dc) {
			peers = append(peers, s.remoteBridges(dc)...)
		}
	}
	return peers
}

// crossesDataCentres reports whether the bridges of this data centre push a
// rumour to the others. Each data centre spreads its own records, and those of
// data centres without listed members.
func (s *State) crossesDataCentres(r *rumour) bool {
	homeDataCentre := s.homeDataCentre(r.key)
	return homeDataCentre == s.localNode().DataCentre || len(s.listed[homeDataCentre]) == 0
}

// homeDataCentre returns the data centre of a record's member or target, empty
// if this node has no such record.
func (s *State) homeDataCentre(key recordKey) string {
	if key.target {
		if t := s.targets[api.TargetID(key.name)]; t != nil {
			return t.Announcement.DataCentre
		}
		return ""
	}
	if e := s.members[key.name]; e != nil {
		return e.DataCentre
	}
	return ""
}

// push sends rumours to the peers of one round, to each peer those that it
// isn't known to have.
func (s *State) push(rumours []*rumour) {
	if len(rumours) == 0 {
		return
	}
	localPeers := s.gossipPeers(false)
	for _, r := range rumours {
		r.rounds++
	}
	for _, peer := range localPeers {
		s.pushTo(peer, rumours)
	}
	crossing := slices.DeleteFunc(slices.Clone(rumours), func(r *rumour) bool { return !s.crossesDataCentres(r) })
	if len(crossing) == 0 {
		return
	}
	for _, dc := range s.otherDataCentres() {
		if !s.isBridge(dc) {
			continue
		}
		for _, peer := range s.remoteBridges(dc) {
			s.pushTo(peer, crossing)
		}
	}
}

// addRecord appends a record to a message.
func (s *State) addRecord(m *Message, key recordKey) {
	if key.target {
		if t := s.targets[api.TargetID(key.name)]; t != nil {
			m.Targets = append(m.Targets, t.wireRecord(s.now))
		}
		return
	}
	if e := s.members[key.name]; e != nil {
		m.Members = append(m.Members, e.wireRecord(s.now))
	}
}

func (s *State) onPush(m Message) {
	known := s.applyRecords(m)
	s.replyTo(m, Message{Kind: KindPushAck, Sequence: m.Sequence, Known: known})
}

// applyRecords applies the records of a message. It returns a bit for each that
// was already known, members first, and sends back those that this node has in
// a newer version.
func (s *State) applyRecords(m Message) (known uint64) {
	newer := Message{Kind: KindRecords}
	bit := uint64(1)
	recordResult := func(key recordKey, wasKnown, stale bool) {
		if wasKnown {
			known |= bit
			s.markKnown(key, m.From, stale)
		}
		if stale {
			s.addRecord(&newer, key)
		}
		bit <<= 1
	}
	for _, r := range m.Members {
		wasKnown, stale := s.applyMember(r, m.From)
		recordResult(recordKey{name: r.ID}, wasKnown, stale)
	}
	for _, r := range m.Targets {
		wasKnown, stale := s.applyTarget(r, m.From)
		recordResult(recordKey{target: true, name: string(r.Announcement.Target)}, wasKnown, stale)
	}
	if len(newer.Members)+len(newer.Targets) > 0 {
		s.replyTo(m, newer)
	}
	return known
}

// markKnown records that a peer has a rumour's record, unless the peer's
// version is stale.
func (s *State) markKnown(key recordKey, peer string, stale bool) {
	if r := s.rumours[key]; r != nil && !stale {
		r.known[peer] = struct{}{}
	}
}
