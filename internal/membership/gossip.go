package membership

import (
	"slices"
	"strings"
	"time"

	"wigeonbay/internal/api"
)

// pushLimit bounds the records in one push; Message.Known has a bit for each.
const pushLimit = 64

// pushLifetime is how long an acknowledgement of a push is waited for.
const pushLifetime = 2 * time.Second

// bulk is the number of records in one message above which they are a transfer
// between two nodes and not news.
const bulk = 32

// recordKey names a record.
type recordKey struct {
	target bool
	name   string
}

// rumour is a record that this node still pushes to others.
type rumour struct {
	key recordKey
	// known holds the members that have the record: they sent or
	// acknowledged it.
	known map[string]struct{}
	// duplicates counts the receivers that had the record already.
	duplicates int
	rounds     int
	// origin tells that the news began here: nobody else has it yet.
	origin bool
}

// pushed is a push that waits for its acknowledgement.
type pushed struct {
	to      string
	rumours []*rumour
	at      time.Time
	// offer tells that the records were only named.
	offer bool
}

// rumour makes a record news to be pushed; from is the member that has it.
func (s *State) rumour(target bool, name, from string) *rumour {
	if s.muted {
		return nil
	}
	key := recordKey{target: target, name: name}
	r := &rumour{key: key, known: map[string]struct{}{}, origin: from == ""}
	if from != "" {
		r.known[from] = struct{}{}
	}
	s.rumours[key] = r
	s.fresh = append(s.fresh, r)
	return r
}

// pushFresh pushes what became news in this step, at once. In a large data
// centre, news from others that keeps no work from a target waits for the next
// round instead, so that much of it goes in one message.
func (s *State) pushFresh() {
	if len(s.fresh) == 0 {
		return
	}
	fresh := slices.DeleteFunc(s.fresh, func(r *rumour) bool {
		return s.rumours[r.key] != r || !r.origin && !s.small() && !s.urgent(r.key)
	})
	s.fresh = nil
	s.push(fresh)
}

// urgent reports whether a record must reach every node within seconds: one of
// a member, or of a target that takes no more work.
func (s *State) urgent(key recordKey) bool {
	if !key.target {
		return true
	}
	t := s.targets[api.TargetID(key.name)]
	return t != nil && !t.State().AcceptsWork()
}

// gossip pushes again what has not been acknowledged, and ends what has spread.
func (s *State) gossip() {
	for seq, p := range s.pushes {
		if s.now.Sub(p.at) > pushLifetime {
			delete(s.pushes, seq)
		}
	}
	s.dropOldRelays()
	if len(s.rumours) == 0 {
		return
	}
	var live []*rumour
	for key, r := range s.rumours {
		if s.spread(r) {
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

// spread reports whether a rumour needs no more pushing. In a small data
// centre each member has to acknowledge; in a large one it is enough that
// receivers more and more often had it, and the digests find the rest.
func (s *State) spread(r *rumour) bool {
	if r.rounds >= s.timing.GossipRounds {
		return true
	}
	if !s.small() {
		return r.duplicates >= s.knownLimit(r.key)
	}
	for _, e := range s.gossipPeers(s.crosses(r)) {
		if _, ok := r.known[e.ID]; !ok {
			return false
		}
	}
	return true
}

func (s *State) knownLimit(key recordKey) int {
	if key.target && s.urgent(key) {
		return s.timing.LeavingKnownLimit
	}
	return s.timing.KnownLimit
}

// small reports whether this data centre is small enough to push to everybody.
func (s *State) small() bool {
	return len(s.listed[s.me().DataCentre]) <= 2*s.timing.Fanout
}

// gossipPeers returns the peers of one round. A bridge pushes news of its own
// data centre to the others' bridges too.
func (s *State) gossipPeers(crossing bool) []*memberEntry {
	var peers []*memberEntry
	if s.small() {
		peers = s.peers(s.me().DataCentre)
	} else {
		peers = s.randomPeers(s.timing.Fanout, "")
	}
	if !crossing {
		return peers
	}
	for _, dc := range s.otherDataCentres() {
		if s.isBridge(dc) {
			peers = append(peers, s.farBridges(dc)...)
		}
	}
	return peers
}

// crosses reports whether the bridges of this data centre carry a rumour to
// the others: each data centre spreads its own news.
func (s *State) crosses(r *rumour) bool {
	home := s.home(r.key)
	return home == s.me().DataCentre || len(s.listed[home]) == 0
}

// home returns the data centre of a record's subject.
func (s *State) home(key recordKey) string {
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

// push sends rumours to the peers of one round, each peer those that it isn't
// known to have.
func (s *State) push(rumours []*rumour) {
	if len(rumours) == 0 {
		return
	}
	local := s.gossipPeers(false)
	for _, r := range rumours {
		r.rounds++
	}
	for _, peer := range local {
		s.pushTo(peer, rumours)
	}
	crossing := slices.DeleteFunc(slices.Clone(rumours), func(r *rumour) bool { return !s.crosses(r) })
	if len(crossing) == 0 {
		return
	}
	for _, dc := range s.otherDataCentres() {
		if !s.isBridge(dc) {
			continue
		}
		for _, peer := range s.farBridges(dc) {
			s.pushTo(peer, crossing)
		}
	}
}

// addRecord puts a record into a message.
func (s *State) addRecord(m *Message, key recordKey) {
	if key.target {
		if t := s.targets[api.TargetID(key.name)]; t != nil {
			m.Targets = append(m.Targets, t.wire(s.now))
		}
		return
	}
	if e := s.members[key.name]; e != nil {
		m.Members = append(m.Members, e.wire(s.now))
	}
}

func (s *State) onPush(m Message) {
	known := s.takeRecords(m)
	s.answer(m, Message{Kind: KindPushAck, Sequence: m.Sequence, Known: known})
}

// takeRecords takes in the records of a message. It returns a bit for each
// that was known, members first, and sends back those that it has newer.
func (s *State) takeRecords(m Message) (known uint64) {
	newer := Message{Kind: KindRecords}
	bit := uint64(1)
	count := func(key recordKey, wasKnown, stale bool) {
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
		count(recordKey{name: r.ID}, wasKnown, stale)
	}
	for _, r := range m.Targets {
		wasKnown, stale := s.applyTarget(r, m.From)
		count(recordKey{target: true, name: string(r.Announcement.Target)}, wasKnown, stale)
	}
	if len(newer.Members)+len(newer.Targets) > 0 {
		s.answer(m, newer)
	}
	return known
}

// markKnown remembers that a peer has a rumour already.
func (s *State) markKnown(key recordKey, peer string, stale bool) {
	if r := s.rumours[key]; r != nil && !stale {
		r.known[peer] = struct{}{}
	}
}
