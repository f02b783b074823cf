package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// simulation runs replicas over a simulated network and simulated disks. It
// makes no choices itself: choose picks what happens next, so that a property
// test or a seeded random walk can drive it. Violations of the safety rules are
// reported through fail.
type simulation struct {
	choose func(label string, n int) int
	fail   func(format string, args ...any)

	now          time.Duration
	nodes        map[string]*simNode
	ids          []string
	net          []Message
	disconnected map[string]bool
	// blocked reports which directions are cut; nil for none.
	blocked func(from, to string) bool
	nextID  uint64

	// leaders holds the leader of each term, committed the entry at each
	// committed index and commitTerm the term of the replica that first applied
	// it. They record facts that must never change.
	leaders    map[uint64]Identity
	committed  map[uint64]Entry
	commitTerm map[uint64]uint64
	// acked records when each entry was first applied, which is when its
	// proposer could be told that it is committed.
	acked []ackRecord
	// reads holds, by the ID of a read, the highest index that was acknowledged
	// before the read was requested.
	reads map[uint64]uint64
	// lost holds the identities whose disks were lost.
	lost        map[Identity]bool
	eventCounts map[string]int
}

type ackRecord struct {
	at    time.Duration
	index uint64
}

type simNode struct {
	id          string
	incarnation int
	boots       uint64
	startedAt   time.Duration
	state       *State // nil while the node is down
	durable     PersistentState
	pending     []Persist
	// sending holds the members to which a snapshot is being sent.
	sending     []Identity
	lastLedTerm uint64
}

const (
	simHeartbeat = 10 * time.Millisecond
	simElection  = 100 * time.Millisecond
)

func newSimulation(ids ...string) *simulation {
	sim := &simulation{
		nodes:        map[string]*simNode{},
		disconnected: map[string]bool{},
		leaders:      map[uint64]Identity{},
		committed:    map[uint64]Entry{},
		commitTerm:   map[uint64]uint64{},
		reads:        map[uint64]uint64{},
		lost:         map[Identity]bool{},
		eventCounts:  map[string]int{},
	}
	members := Membership{Group: "g"}
	for _, id := range ids {
		sim.addNode(id)
		members.Members = append(members.Members, Member{Identity: sim.nodes[id].identity(), Voter: true})
	}
	sim.step(sim.nodes[ids[0]], Bootstrap{Membership: members})
	return sim
}

func (sim *simulation) addNode(id string) *simNode {
	node := &simNode{id: id, incarnation: 1}
	sim.ids = append(sim.ids, id)
	sim.nodes[id] = node
	sim.start(node)
	return node
}

func (n *simNode) identity() Identity {
	return Identity{ID: n.id, Incarnation: fmt.Sprintf("%s%d", n.id, n.incarnation)}
}

func (sim *simulation) start(node *simNode) {
	node.startedAt = sim.now
	node.boots++
	node.lastLedTerm = 0
	node.sending = nil
	disk := node.durable
	disk.Entries = slices.Clone(disk.Entries)
	cfg := Config{
		Self: node.identity(), Boot: node.boots, Heartbeat: simHeartbeat, ElectionTimeout: simElection,
		MaxBatchEntries: 3, MaxBatchBytes: 1 << 10, MaxInflight: 2,
	}
	node.state = New(cfg, disk)
}

// crash stops a node. Of its writes that were not synced, the first survivors
// ones still reach the disk; the others are lost.
func (sim *simulation) crash(node *simNode, survivors int) {
	for _, write := range node.pending[:min(survivors, len(node.pending))] {
		node.write(write)
	}
	node.pending = nil
	node.state = nil
}

func (n *simNode) write(w Persist) {
	if w.HardState != nil {
		n.durable.HardState = *w.HardState
	}
	if w.Snapshot != nil {
		n.install(w.Snapshot.Meta, w.ResetLog)
	}
	if len(w.Entries) == 0 {
		return
	}
	base := n.durable.Snapshot.Index
	keep := int(w.Entries[0].Index - base - 1)
	n.durable.Entries = append(slices.Clone(n.durable.Entries[:keep]), w.Entries...)
}

func (n *simNode) install(meta SnapshotMeta, reset bool) {
	drop := min(int(meta.Index-n.durable.Snapshot.Index), len(n.durable.Entries))
	n.durable.Entries = n.durable.Entries[drop:]
	if reset {
		n.durable.Entries = nil
	}
	n.durable.Snapshot = meta
}

// sync completes the first count pending writes and reports them as synced.
func (sim *simulation) sync(node *simNode, count int) {
	count = min(count, len(node.pending))
	if count == 0 {
		return
	}
	for _, write := range node.pending[:count] {
		node.write(write)
	}
	seq := node.pending[count-1].Seq
	node.pending = slices.Clone(node.pending[count:])
	sim.step(node, Persisted{Seq: seq})
}

func (sim *simulation) tick(node *simNode, jitter float64) {
	sim.step(node, Tick{Now: sim.now - node.startedAt + 1, Jitter: jitter})
}

func (sim *simulation) step(node *simNode, event Event) {
	if node.state == nil {
		return
	}
	for _, effect := range node.state.Step(event) {
		sim.execute(node, effect)
	}
	sim.checkInvariants(node)
}

func (sim *simulation) execute(node *simNode, effect Effect) {
	switch e := effect.(type) {
	case Persist:
		node.pending = append(node.pending, e)
	case Send:
		sim.net = append(sim.net, e.Message)
	case SendSnapshot:
		e.Request.Snapshot = Snapshot{Meta: node.durable.Snapshot}
		e.Message.Body = e.Request
		sim.net = append(sim.net, e.Message)
		node.sending = append(node.sending, e.Message.To)
		sim.eventCounts["snapshot"]++
	case Apply:
		sim.applied(node, e.Entries)
	case Restore:
		sim.checkRestored(node, e.Snapshot.Meta)
	case ReadReady:
		if node.state.applied < sim.reads[e.ID] {
			sim.fail("%s answered read %d at index %d, but index %d was acknowledged before", node.id, e.ID, node.state.applied, sim.reads[e.ID])
		}
		sim.eventCounts["read"]++
	}
}

func (sim *simulation) applied(node *simNode, entries []Entry) {
	for _, entry := range entries {
		known, ok := sim.committed[entry.Index]
		if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
			sim.fail("%s applied entry %d of term %d, but the committed entry has term %d", node.id, entry.Index, entry.Term, known.Term)
		}
		if !ok {
			sim.committed[entry.Index] = entry
			sim.commitTerm[entry.Index] = node.state.hardState.Term
			sim.acked = append(sim.acked, ackRecord{sim.now, entry.Index})
			sim.eventCounts["commit"]++
			if entry.Kind == EntryMembership {
				sim.eventCounts["membership"]++
			}
		}
	}
}

func (sim *simulation) checkRestored(node *simNode, meta SnapshotMeta) {
	if known, ok := sim.committed[meta.Index]; !ok || known.Term != meta.Term {
		sim.fail("%s restored snapshot %d of term %d, but the committed entry has term %d", node.id, meta.Index, meta.Term, known.Term)
	}
}

// checkInvariants checks the safety rules of Raft (section 5) on a node's
// state, and that a node that reports itself as current has applied what was
// acknowledged.
func (sim *simulation) checkInvariants(node *simNode) {
	s := node.state
	if s.role == RoleLeader && node.lastLedTerm != s.hardState.Term {
		node.lastLedTerm = s.hardState.Term
		sim.checkElectionSafety(s)
		sim.checkLeaderCompleteness(node)
	}
	if s.currentAt > 0 {
		at := node.startedAt + s.currentAt - 1
		if known := sim.ackedBefore(at); s.applied < known {
			sim.fail("%s reports itself as current at %v with index %d, but index %d was acknowledged", node.id, at, s.applied, known)
		}
	}
	sim.checkLogMatching(node)
}

func (sim *simulation) checkElectionSafety(s *State) {
	sim.eventCounts["leader"]++
	if known, ok := sim.leaders[s.hardState.Term]; ok && known != s.cfg.Self {
		sim.fail("term %d has leaders %v and %v", s.hardState.Term, known, s.cfg.Self)
	}
	sim.leaders[s.hardState.Term] = s.cfg.Self
}

// checkLeaderCompleteness checks that a leader holds what earlier terms
// committed.
func (sim *simulation) checkLeaderCompleteness(node *simNode) {
	s := node.state
	for index, entry := range sim.committed {
		if sim.commitTerm[index] >= s.hardState.Term || index <= s.log.base {
			continue
		}
		if term, ok := s.log.term(index); !ok || term != entry.Term {
			sim.fail("leader %s of term %d lacks committed entry %d", node.id, s.hardState.Term, index)
		}
	}
}

// checkLogMatching checks a node's last entry against the logs of the others:
// equal index and term mean equal logs up to that entry.
func (sim *simulation) checkLogMatching(node *simNode) {
	index, term := node.state.log.last(), node.state.log.lastTerm()
	for _, id := range sim.ids {
		other := sim.nodes[id]
		if other == node || other.state == nil {
			continue
		}
		if got, ok := other.state.log.term(index); !ok || got != term {
			continue
		}
		for at := max(node.state.log.base, other.state.log.base) + 1; at <= index; at++ {
			a, _ := node.state.log.term(at)
			b, _ := other.state.log.term(at)
			if a != b {
				sim.fail("%s and %s match at %d but not at %d", node.id, id, index, at)
			}
		}
	}
}

func (sim *simulation) ackedBefore(at time.Duration) uint64 {
	var index uint64
	for _, a := range sim.acked {
		if a.at < at {
			index = max(index, a.index)
		}
	}
	return index
}

func (sim *simulation) maxAcked() uint64 {
	var index uint64
	for _, a := range sim.acked {
		index = max(index, a.index)
	}
	return index
}

// loseDisk empties a node's disk and restarts it as a new incarnation, unless
// more voters than the group tolerates would then be lost under any membership
// in use.
func (sim *simulation) loseDisk(node *simNode) {
	sim.lost[node.identity()] = true
	for _, members := range sim.activeMemberships() {
		if sim.quorumLost(members) {
			delete(sim.lost, node.identity())
			return
		}
	}
	sim.eventCounts["lost disk"]++
	node.state = nil
	node.pending = nil
	node.durable = PersistentState{}
	node.incarnation++
	sim.start(node)
}

// quorumLost reports whether fewer than a quorum of the voters kept their
// disks.
func (sim *simulation) quorumLost(members Membership) bool {
	lost := 0
	for _, id := range members.Voters() {
		if sim.lost[id] {
			lost++
		}
	}
	return lost > (len(members.Voters())-1)/2
}

// activeMemberships returns the memberships by which a majority could be
// counted: the newest committed one and every newer one in a log.
func (sim *simulation) activeMemberships() []Membership {
	var newest uint64
	var out []Membership
	for index, entry := range sim.committed {
		if entry.Kind == EntryMembership && index >= newest {
			newest = index
			out = []Membership{*entry.Membership}
		}
	}
	for _, id := range sim.ids {
		node := sim.nodes[id]
		disk := New(Config{}, node.durable)
		if disk.membersIndex >= newest && len(disk.members.Members) > 0 {
			out = append(out, disk.members)
		}
		if node.state != nil && node.state.membersIndex >= newest {
			out = append(out, node.state.members)
		}
	}
	return out
}

// deliver delivers the message at an index of net. With keep, the message stays
// in net and may be delivered again.
func (sim *simulation) deliver(at int, keep bool) {
	m := sim.net[at]
	if !keep {
		sim.net = slices.Delete(sim.net, at, at+1)
	}
	node := sim.nodes[m.To.ID]
	if node == nil || sim.disconnected[m.From.ID] || sim.disconnected[m.To.ID] {
		return
	}
	if sim.blocked != nil && sim.blocked(m.From.ID, m.To.ID) {
		return
	}
	sim.step(node, Receive{Message: m})
}

// leader returns the leader of the highest term, or nil if there is none.
func (sim *simulation) leader() *simNode {
	var best *simNode
	for _, id := range sim.ids {
		node := sim.nodes[id]
		if node.state == nil || node.state.role != RoleLeader {
			continue
		}
		if best == nil || node.state.hardState.Term > best.state.hardState.Term {
			best = node
		}
	}
	return best
}

// settle starts all stopped nodes and runs the simulation without faults.
func (sim *simulation) settle(rounds int) {
	for _, id := range sim.ids {
		if sim.nodes[id].state == nil {
			sim.start(sim.nodes[id])
		}
	}
	clear(sim.disconnected)
	sim.blocked = nil
	for round := range rounds {
		sim.runRound(round)
	}
}

// runRound ticks every node, delivers all messages and completes all writes
// once.
func (sim *simulation) runRound(round int) {
	sim.now += simHeartbeat / 2
	for i, id := range sim.ids {
		node := sim.nodes[id]
		if node.state == nil {
			continue
		}
		jitter := float64((round*7+i*13)%17) / 17
		sim.tick(node, jitter)
		sim.sync(node, len(node.pending))
		for _, to := range node.sending {
			sim.step(node, SnapshotSent{To: to})
		}
		node.sending = nil
	}
	for range len(sim.net) {
		sim.deliver(0, false)
	}
	for _, id := range sim.ids {
		sim.sync(sim.nodes[id], len(sim.nodes[id].pending))
	}
}

// describe returns each node's state for the message of a failed check.
func (sim *simulation) describe() string {
	var out strings.Builder
	for _, id := range sim.ids {
		node := sim.nodes[id]
		if node.state == nil {
			fmt.Fprintf(&out, "\n%s is down", id)
			continue
		}
		s := node.state
		fmt.Fprintf(&out, "\n%v %v term %d vote %v leader %v log %d..%d/%d commit %d applied %d members %v at %d",
			node.identity(), s.role, s.hardState.Term, s.hardState.Vote, s.leader, s.log.base, s.log.last(), s.log.lastTerm(), s.commit, s.applied, s.members.Members, s.membersIndex)
		for id, p := range s.lead.progress {
			fmt.Fprintf(&out, "\n  %v %+v", id, *p)
		}
		fmt.Fprintf(&out, "\n  disk %+v received %d pending %d now %v", s.disk, s.received, len(node.pending), s.now)
	}
	return out.String()
}
