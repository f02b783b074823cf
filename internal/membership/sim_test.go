package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// simSeed seeds the simulated network of every test.
const simSeed = 7

// sim runs several reducers over a simulated network in virtual time.
type sim struct {
	t       testing.TB
	now     time.Time
	start   time.Time
	random  *rand.Rand
	queue   eventQueue
	order   uint64
	nodes   map[string]*simNode
	started []*simNode
	address map[string]*simNode
	seeds   []Seed
	timing  Timing
	// loss is the share of messages lost; delay is the least delay of a
	// message; jitter bounds the random delay on top, which reorders messages.
	loss          float64
	delay, jitter time.Duration
	// cut, when set, reports whether the network loses messages between two
	// nodes.
	cut func(from, to *simNode) bool
	// dropMessage, when set, reports whether the network loses a message with
	// this content.
	dropMessage func(m Message) bool
	// onStep, when set, is called with each event of a node.
	onStep func(n *simNode, event Event)
	// onEffect, when set, is called with each effect of a node.
	onEffect func(n *simNode, e Effect)
	// onSent, when set, is called with the size of each encoded message.
	onSent func(kind MessageKind, bytes int)
	// encode encodes and decodes every message, to count bytes.
	encode bool
}

// simNode is a simulated entry node.
type simNode struct {
	id, dc, address  string
	config           Config
	state            *State
	down             bool
	paused           bool
	sentMsgs         int
	sentBytes        int
	memberChanges    int
	deaths, suspects int
	isolations       int
	leaveDone        bool
	reply            api.AnnounceReply
	// states lists the states of each target as they changed at this node.
	states map[api.TargetID][]api.TargetState
	// held are the events that a paused node receives when it is resumed.
	held []func()
}

type simEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSim starts perDC nodes in each data centre, with ids DC-NUMBER. The first
// two nodes of each data centre are the seeds.
func newSim(t testing.TB, perDC int, dcs ...string) *sim {
	return newSimWithTiming(t, DefaultTiming(), perDC, dcs...)
}

func newSimWithTiming(t testing.TB, timing Timing, perDC int, dcs ...string) *sim {
	start := time.Unix(1_000_000, 0)
	s := &sim{
		t:       t,
		now:     start,
		start:   start,
		random:  rand.New(rand.NewPCG(simSeed, 1)),
		nodes:   map[string]*simNode{},
		address: map[string]*simNode{},
		delay:   time.Millisecond,
		jitter:  time.Millisecond,
		timing:  timing,
	}
	for _, dc := range dcs {
		for i := range min(2, perDC) {
			s.seeds = append(s.seeds, Seed{ID: nodeID(dc, i), Address: nodeID(dc, i), DataCentre: dc})
		}
	}
	for _, dc := range dcs {
		for i := range perDC {
			s.startNode(nodeID(dc, i), dc, 1)
		}
	}
	return s
}

func nodeID(dc string, i int) string {
	return fmt.Sprintf("%s-%d", dc, i)
}

func (s *sim) startNode(id, dc string, incarnation uint64) *simNode {
	n := &simNode{id: id, dc: dc, address: id, states: map[api.TargetID][]api.TargetState{}}
	n.config = Config{
		Self:       Member{ID: id, Address: id, DataCentre: dc, Incarnation: incarnation},
		Seeds:      s.seeds,
		Timing:     s.timing,
		RandomSeed: s.random.Uint64(),
	}
	n.state = New(n.config, s.now)
	s.nodes[id] = n
	s.address[id] = n
	s.started = append(s.started, n)
	s.after(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.tick(n) })
	return n
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), order: s.order, run: run})
}

func (s *sim) tick(n *simNode) {
	if n.down {
		return
	}
	s.after(TickInterval, func() { s.tick(n) })
	if !n.paused {
		s.step(n, Tick{At: s.now})
	}
}

func (s *sim) step(n *simNode, event Event) {
	if n.down {
		return
	}
	if s.onStep != nil {
		s.onStep(n, event)
	}
	for _, effect := range n.state.Step(event) {
		s.applyEffect(n, effect)
	}
}

func (s *sim) applyEffect(n *simNode, effect Effect) {
	if s.onEffect != nil {
		s.onEffect(n, effect)
	}
	switch e := effect.(type) {
	case Send:
		s.send(n, e)
	case MembersChanged:
		n.memberChanges++
	case TargetChanged:
		a := e.Announcement
		n.states[a.Target] = append(n.states[a.Target], a.State)
	case AnnounceReplied:
		n.reply = e.Reply
	case LogEvent:
		switch e.Kind {
		case LogMemberDead:
			n.deaths++
		case LogMemberSuspected:
			n.suspects++
		case LogIsolated:
			n.isolations++
		case LogLeaveDone:
			n.leaveDone = true
		}
	}
}

func (s *sim) send(n *simNode, e Send) {
	m := e.Message
	n.sentMsgs++
	if s.encode {
		body, err := m.Encode()
		assert.NilError(s.t, err)
		n.sentBytes += len(body)
		if s.onSent != nil {
			s.onSent(m.Kind, len(body))
		}
		m, err = DecodeMessage(body)
		assert.NilError(s.t, err)
	}
	to := s.address[e.Address]
	if to == nil || s.random.Float64() < s.loss || s.cut != nil && s.cut(n, to) {
		return
	}
	if s.dropMessage != nil && s.dropMessage(m) {
		return
	}
	m = copyMessage(m)
	delay := s.delay + time.Duration(s.random.Int64N(int64(s.jitter)+1))
	s.after(delay, func() { s.deliver(e.Address, m) })
}

// copyMessage copies the record slices of a message, so that two reducers never
// share them.
func copyMessage(m Message) Message {
	m.Members = append([]Member(nil), m.Members...)
	m.Targets = append([]TargetRecord(nil), m.Targets...)
	return m
}

func (s *sim) deliver(address string, m Message) {
	n := s.address[address]
	if n.paused {
		n.held = append(n.held, func() { s.step(n, Received{At: s.now, Message: m}) })
		return
	}
	s.step(n, Received{At: s.now, Message: m})
}

// resume resumes a paused node, which first receives the events held for it.
func (s *sim) resume(n *simNode) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, run := range held {
		run()
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil runs until the condition holds and returns the virtual time that
// this took. It fails the test if bound passes first.
func (s *sim) runUntil(bound time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	begin := s.now
	for !condition() {
		if s.now.Sub(begin) >= bound {
			s.t.Fatalf("%s: not within %s", what, bound)
		}
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(begin)
}

func (s *sim) live() []*simNode {
	var list []*simNode
	for _, id := range sortedKeys(s.nodes) {
		if n := s.nodes[id]; !n.down && !n.paused {
			list = append(list, n)
		}
	}
	return list
}

// converged reports whether every live node lists exactly the live nodes, all
// of them alive.
func (s *sim) converged() bool {
	live := s.live()
	for _, n := range live {
		members := n.state.Members()
		if len(members) != len(live) {
			return false
		}
		for _, m := range members {
			if other := s.nodes[m.ID]; m.State != "alive" || other == nil || other.down {
				return false
			}
		}
	}
	return true
}

// anyLive returns a random live node of a data centre, or nil if it finds none.
func (s *sim) anyLive(dc string) *simNode {
	for range 100 {
		n := s.started[s.random.IntN(len(s.started))]
		if n.dc == dc && !n.down && !n.paused {
			return n
		}
	}
	return nil
}

// allSeeTarget reports whether every live node of the given data centres, or of
// all if none is given, has a target in the given state.
func (s *sim) allSeeTarget(id api.TargetID, state api.TargetState, dcs ...string) bool {
	for _, n := range s.live() {
		if !n.inDataCentres(dcs) {
			continue
		}
		if n.targetState(id) != state {
			return false
		}
	}
	return true
}

func (n *simNode) inDataCentres(dcs []string) bool {
	if len(dcs) == 0 {
		return true
	}
	for _, dc := range dcs {
		if n.dc == dc {
			return true
		}
	}
	return false
}

func (n *simNode) targetState(id api.TargetID) api.TargetState {
	t := n.state.targets[id]
	if t == nil {
		return ""
	}
	return t.State()
}

func (n *simNode) memberState(id string) string {
	for _, m := range n.state.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return "absent"
}

func announcement(id api.TargetID, dc string, sequence uint64, state api.TargetState) api.Announcement {
	return api.Announcement{
		Target:      id,
		Incarnation: 1,
		Sequence:    sequence,
		Service:     "lots",
		Address:     "127.0.0.1:9000",
		DataCentre:  dc,
		State:       state,
		Slots:       3,
		Connections: 30,
		LeaseMS:     6000,
		Holdings: []api.Holding{{
			Snapshot:     api.Snapshot{Layout: 1, Version: 7},
			LayoutShards: 8,
			Shards:       []api.ShardID{0, 1, 2, 3},
			Warm:         true,
		}},
	}
}

// announce sends a target's announcement to a node.
func (s *sim) announce(node string, a api.Announcement) {
	s.step(s.nodes[node], Announced{At: s.now, Announcement: a})
}

// renewing renews a target at random live nodes of its data centre, as the
// balancer would choose them, until stop is called.
func (s *sim) renewing(a api.Announcement) (stop func()) {
	stopped := false
	var renew func()
	renew = func() {
		if stopped {
			return
		}
		next := a.LeaseMS / renewalsPerLease
		defer func() { s.after(time.Duration(next)*time.Millisecond, renew) }()
		if n := s.anyLive(a.DataCentre); n != nil {
			n.reply = api.AnnounceReply{}
			s.step(n, Announced{At: s.now, Announcement: a})
			if n.reply.RenewMS > 0 {
				next = n.reply.RenewMS
			}
		}
	}
	renew()
	return func() { stopped = true }
}

func TestJoin(t *testing.T) {
	tests := []struct {
		name  string
		perDC int
		dcs   []string
	}{
		{"one node alone", 1, []string{"oeste"}},
		{"three single nodes", 1, []string{"oeste", "serra", "litoral"}},
		{"nine nodes", 3, []string{"oeste", "serra", "litoral"}},
		{"forty in one data centre", 40, []string{"oeste"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.perDC, tt.dcs...)
			took := s.runUntil(20*time.Second, "membership complete", s.converged)
			t.Logf("complete after %s", took)
			s.run(20 * time.Second)
			for _, n := range s.live() {
				assert.Equal(t, n.deaths, 0, n.id)
				assert.Equal(t, n.suspects, 0, n.id)
			}
		})
	}
}
