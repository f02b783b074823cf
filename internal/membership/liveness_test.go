package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// fault: kill x announce
func TestCrashedNodeIsDeclaredDead(t *testing.T) {
	tests := []struct {
		name  string
		perDC int
		loss  float64
		bound time.Duration
	}{
		{"two nodes", 2, 0, 10 * time.Second},
		{"three nodes", 3, 0, 10 * time.Second},
		{"three nodes with loss", 3, 0.1, 20 * time.Second},
		{"thirty nodes with loss", 30, 0.1, 40 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.perDC, "oeste", "serra")
			s.runUntil(20*time.Second, "membership complete", s.converged)
			s.loss = tt.loss
			s.nodes["oeste-1"].down = true
			took := s.runUntil(tt.bound, "crash seen everywhere", func() bool {
				for _, n := range s.live() {
					if n.memberState("oeste-1") != "absent" {
						return false
					}
				}
				return true
			})
			t.Logf("dead everywhere after %s", took)
			for _, n := range s.live() {
				for _, other := range s.live() {
					assert.Assert(t, n.memberState(other.id) != "absent", "%s lost %s", n.id, other.id)
				}
			}
		})
	}
}

// fault: kill x restart
func TestRestartAtSameAddress(t *testing.T) {
	s := newSim(t, 3, "oeste", "serra")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	s.nodes["serra-0"].down = true
	s.run(500 * time.Millisecond)
	s.startNode("serra-0", "serra", 2)
	s.runUntil(10*time.Second, "new incarnation everywhere", func() bool {
		for _, n := range s.live() {
			if e := n.state.members["serra-0"]; e == nil || e.Incarnation < 2 || !e.Listed() {
				return false
			}
		}
		return s.converged()
	})
	for _, n := range s.live() {
		assert.Equal(t, n.deaths, 0, n.id)
	}
}

// TestRestartWithLowerIncarnation guards against a process that starts with a
// lower incarnation than its peers know and stays dead to them: it must raise
// its own and rejoin.
func TestRestartWithLowerIncarnation(t *testing.T) {
	s := newSim(t, 3, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	s.nodes["oeste-2"].down = true
	s.run(20 * time.Second)
	s.startNode("oeste-2", "oeste", 0)
	joined := 0
	s.onEffect = func(n *simNode, e Effect) {
		if logEvent, ok := e.(LogEvent); ok && n.id == "oeste-0" && logEvent.Kind == LogMemberJoined {
			joined++
		}
	}
	s.runUntil(10*time.Second, "membership complete", s.converged)
	assert.Equal(t, joined, 1, "wrong number of log events for the join")
}

// TestNewMemberAtReusedAddress guards against a process that answers messages
// meant for the one that had its address before: its answers would keep the old
// member alive for ever.
func TestNewMemberAtReusedAddress(t *testing.T) {
	s := newSim(t, 3, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	s.nodes["oeste-2"].down = true
	delete(s.nodes, "oeste-2")
	n := s.startNode("oeste-9", "oeste", 1)
	n.state = New(Config{
		Self:       Member{ID: "oeste-9", Address: "oeste-2", DataCentre: "oeste", Incarnation: 1},
		Seeds:      s.seeds,
		Timing:     DefaultTiming(),
		RandomSeed: 99,
	}, s.now)
	s.address["oeste-2"] = n
	s.runUntil(20*time.Second, "old member removed and new one listed", s.converged)
}

// fault: stop and continue x announce
func TestPausedNodeResumesWithStaleRecords(t *testing.T) {
	tests := []struct {
		name   string
		paused time.Duration
	}{
		{"short", 3 * time.Second},
		{"until suspected", 7 * time.Second},
		{"until dead", time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4, "oeste", "serra")
			s.runUntil(20*time.Second, "membership complete", s.converged)
			a := announcement("lots-1", "oeste", 1, "ready")
			stop := s.renewing(a)
			defer stop()
			old := announcement("lots-2", "oeste", 1, "ready")
			s.announce("oeste-0", old)
			s.run(time.Second)

			paused := s.nodes["oeste-2"]
			paused.paused = true
			drained := announcement("lots-2", "oeste", 2, "draining")
			s.announce("oeste-1", drained)
			s.run(tt.paused)
			deaths, suspects := 0, 0
			for _, n := range s.live() {
				deaths += n.deaths
				suspects += n.suspects
			}
			own := paused.suspects
			s.resume(paused)
			s.runUntil(10*time.Second, "membership complete after the pause", s.converged)
			s.run(10 * time.Second)
			assert.Equal(t, paused.suspects, own, "the resumed node suspected others")
			assert.Equal(t, paused.deaths, 0)
			for _, n := range s.live() {
				if n != paused {
					deaths -= n.deaths
					suspects -= n.suspects
				}
				assert.Equal(t, n.targetState("lots-1"), a.State, n.id)
				assert.Assert(t, n.targetState("lots-2") != "ready", "stale record restored at %s", n.id)
			}
			assert.Equal(t, deaths, 0, "members declared dead after the node resumed")
			assert.Equal(t, suspects, 0, "members suspected after the node resumed")
		})
	}
}

// fault: cut one way x announce
func TestAsymmetricCutDoesNotFlap(t *testing.T) {
	tests := []struct {
		name  string
		perDC int
		cut   func(from, to *simNode) bool
	}{
		{"one pair one way", 3, func(from, to *simNode) bool {
			return from.id == "oeste-0" && to.id == "oeste-1"
		}},
		{"one pair both ways", 4, func(from, to *simNode) bool {
			return from.id == "oeste-0" && to.id == "oeste-1" || from.id == "oeste-1" && to.id == "oeste-0"
		}},
		{"one pair of two nodes, probed through the other data centre", 2, func(from, to *simNode) bool {
			return from.id == "oeste-0" && to.id == "oeste-1"
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.perDC, "oeste", "serra")
			s.runUntil(20*time.Second, "membership complete", s.converged)
			s.cut = tt.cut
			s.run(2 * time.Minute)
			for _, n := range s.live() {
				assert.Equal(t, n.deaths, 0, n.id)
				assert.Equal(t, n.suspects, 0, n.id)
			}
			assert.Assert(t, s.converged())
		})
	}
}

// TestIsolatedNodeDoesNotFlap guards against a node that could not send,
// receive or both, and that makes members flap once its links are back: then no
// node may declare another dead, and after a cut both ways no other node may
// have had to refute a suspicion.
//
// fault: cut both ways x restart
func TestIsolatedNodeDoesNotFlap(t *testing.T) {
	tests := []struct {
		name string
		cut  func(from, to *simNode) bool
	}{
		{"both ways", func(from, to *simNode) bool { return from.id == "oeste-0" || to.id == "oeste-0" }},
		{"cannot send", func(from, _ *simNode) bool { return from.id == "oeste-0" }},
		{"cannot receive", func(_, to *simNode) bool { return to.id == "oeste-0" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4, "oeste", "serra")
			s.runUntil(20*time.Second, "membership complete", s.converged)
			s.cut = tt.cut
			s.run(time.Minute)
			deaths := map[string]int{}
			incarnations := map[string]uint64{}
			for _, n := range s.live() {
				deaths[n.id] = n.deaths
				incarnations[n.id] = n.state.Self().Incarnation
			}
			s.cut = nil
			s.runUntil(20*time.Second, "membership complete after the cut", s.converged)
			s.run(10 * time.Second)
			for _, n := range s.live() {
				assert.Equal(t, n.deaths, deaths[n.id], "%s declared a member dead after the cut", n.id)
				if n.id != "oeste-0" && tt.name == "both ways" {
					assert.Equal(t, n.state.Self().Incarnation, incarnations[n.id], "%s had to refute a suspicion", n.id)
				}
			}
		})
	}
}

func TestGracefulLeave(t *testing.T) {
	for _, perDC := range []int{1, 3, 30} {
		s := newSim(t, perDC, "oeste", "serra")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		s.loss = 0.1
		n := s.nodes["oeste-0"]
		s.step(n, LeaveRequested{At: s.now})
		s.runUntil(2*time.Second, "leave acknowledged", func() bool { return n.leaveDone })
		n.down = true
		s.runUntil(5*time.Second, "leave seen everywhere", s.converged)
		for _, m := range s.live() {
			assert.Equal(t, m.deaths, 0, m.id)
		}
	}
}

// fault: cut of one data centre x announce
func TestDataCentreCutAndHeal(t *testing.T) {
	s := newSim(t, 3, "oeste", "serra", "litoral")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	far := announcement("lots-far", "oeste", 1, "ready")
	stopFar := s.renewing(far)
	near := announcement("lots-near", "serra", 1, "ready")
	stopNear := s.renewing(near)
	defer stopNear()
	s.runUntil(5*time.Second, "targets everywhere", func() bool {
		return s.allSeeTarget("lots-far", "ready") && s.allSeeTarget("lots-near", "ready")
	})
	s.cut = func(from, to *simNode) bool { return (from.dc == "oeste") != (to.dc == "oeste") }
	s.runUntil(15*time.Second, "data centre unreachable everywhere", func() bool {
		for _, n := range s.live() {
			for _, other := range s.live() {
				apart := (n.dc == "oeste") != (other.dc == "oeste")
				if apart != (n.memberState(other.id) == StateUnreachable) {
					return false
				}
			}
		}
		return true
	})
	s.run(10 * time.Minute)
	assert.Assert(t, s.allSeeTarget("lots-far", "ready"), "a live target of the cut data centre was dropped")
	assert.Assert(t, s.allSeeTarget("lots-near", "ready"))
	stopFar()
	s.runUntil(30*time.Second, "lease expires in its own data centre", func() bool {
		return s.allSeeTarget("lots-far", "gone", "oeste")
	})
	s.cut = nil
	s.runUntil(20*time.Second, "membership complete after the cut", s.converged)
	s.runUntil(5*time.Second, "expiry reaches the other data centres after the cut", func() bool { return s.allSeeTarget("lots-far", "gone") })
	for _, n := range s.live() {
		assert.Equal(t, n.deaths, 0, n.id)
	}
}

// TestReportedDeathStartsSuspicion guards against a live member that is
// declared dead on the report of a node that was itself isolated: the member
// must have time to refute it.
func TestReportedDeathStartsSuspicion(t *testing.T) {
	s := newSim(t, 3, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	suspected := s.nodes["oeste-1"].state.Self()
	suspected.State = MemberDead
	n := s.nodes["oeste-0"]
	for _, from := range []string{"oeste-2", "oeste-2"} {
		s.step(n, Received{At: s.now, Message: Message{
			Kind: KindRecords, From: from, To: n.id, Members: []Member{suspected},
		}})
		assert.Equal(t, n.memberState("oeste-1"), "suspect")
	}
	s.runUntil(time.Second, "refuted", s.converged)
	assert.Equal(t, n.deaths, 0)
}

// TestShortPauseDuringProbe guards against a suspicion by a node that is paused
// between a probe and its answer, for less time than would make it count as
// isolated.
//
// fault: stop and continue x restart
func TestShortPauseDuringProbe(t *testing.T) {
	s := newSim(t, 4, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	n := s.nodes["oeste-0"]
	for range 5 {
		s.run(3 * time.Second)
		for n.state.probes.pending.member == "" {
			s.run(100 * time.Microsecond)
		}
		n.paused = true
		s.run(2 * time.Second)
		n.held = nil
		s.resume(n)
		s.step(n, Tick{At: s.now})
	}
	s.run(10 * time.Second)
	assert.Equal(t, n.suspects, 0, "the resumed node suspected another")
}

// TestPartitionedHalvesDoNotFlap guards against members that flap when a data
// centre was partitioned into halves that declared each other dead: after the
// partition, the records of one half must not make the other lose its own
// members.
//
// fault: cut both ways x announce
func TestPartitionedHalvesDoNotFlap(t *testing.T) {
	s := newSim(t, 4, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	half := func(id string) bool { return id == "oeste-0" || id == "oeste-1" }
	s.cut = func(from, to *simNode) bool { return half(from.id) != half(to.id) }
	s.run(time.Minute)
	lost := 0
	s.onEffect = func(n *simNode, e Effect) {
		if _, ok := e.(MembersChanged); !ok {
			return
		}
		for _, other := range s.live() {
			if half(other.id) == half(n.id) && n.memberState(other.id) == "absent" {
				lost++
			}
		}
	}
	s.cut = nil
	s.runUntil(20*time.Second, "membership complete after the cut", s.converged)
	s.run(10 * time.Second)
	assert.Equal(t, lost, 0, "a node lost a member of its own half")
}

// TestPausedNodeResumesWithEmptyBuffers guards against false deaths and expired
// leases at a node that resumes from a pause with a suspicion refuted
// meanwhile, an unanswered probe, expired leases and no buffered messages.
//
// fault: stop and continue x restart
func TestPausedNodeResumesWithEmptyBuffers(t *testing.T) {
	for i := range 4 {
		s := newSim(t, 4, "oeste")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		for j := range 8 {
			defer s.renewing(announcement(targetID(j), "oeste", 1, "ready"))()
		}
		s.run(5*time.Second + time.Duration(i)*250*time.Millisecond)
		paused := s.nodes["oeste-0"]
		suspected := s.nodes["oeste-1"].state.Self()
		suspected.State = MemberSuspect
		s.step(paused, Received{At: s.now, Message: Message{
			Kind: KindRecords, From: "oeste-2", To: "oeste-0", Members: []Member{suspected},
		}})
		s.run(TickInterval)
		paused.paused = true
		s.run(20 * time.Second)
		suspects := paused.suspects
		paused.held = nil
		// With lease checks and renewals lost, only the restart of the leases
		// after the pause keeps them.
		s.dropMessage = func(m Message) bool { return m.Kind == KindRenew || m.Kind == KindLeaseCheck }
		s.resume(paused)
		s.run(time.Second)
		s.dropMessage = nil
		s.run(time.Minute)
		assert.Assert(t, s.converged())
		assert.Equal(t, paused.deaths, 0)
		assert.Equal(t, paused.suspects, suspects)
		for j := range 8 {
			assert.DeepEqual(t, paused.states[targetID(j)], []api.TargetState{"ready"})
		}
	}
}

// TestDeadMemberIsNotifiedOnContact guards against a member that goes on
// unaware that a peer believes it dead: its next message must be answered with
// that record.
func TestDeadMemberIsNotifiedOnContact(t *testing.T) {
	s := newSim(t, 2, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	n := s.nodes["oeste-0"]
	dead := s.nodes["oeste-1"].state.Self()
	dead.State = MemberDead
	n.state.putMember(dead)
	notified := 0
	s.onEffect = func(_ *simNode, e Effect) {
		if send, ok := e.(Send); ok && send.Message.Kind == KindRecords && len(send.Message.Members) == 1 {
			notified++
		}
	}
	s.step(n, Received{At: s.now, Message: Message{Kind: KindAck, From: "oeste-1", To: "oeste-0"}})
	assert.Equal(t, notified, 1)
}

// TestSeedWithDifferentID guards against a node that keeps looking for a seed
// whose id in the settings differs from the id of the node at that address.
func TestSeedWithDifferentID(t *testing.T) {
	s := newSim(t, 1, "oeste")
	s.seeds = []Seed{{ID: "first", Address: "oeste-0", DataCentre: "oeste"}}
	s.startNode("serra-0", "serra", 1)
	s.runUntil(5*time.Second, "membership complete", s.converged)
	s.run(5 * time.Second)
	pings := 0
	s.onEffect = func(_ *simNode, e Effect) {
		if send, ok := e.(Send); ok && send.Message.Kind == KindPing && send.Message.To == "" {
			pings++
		}
	}
	s.run(30 * time.Second)
	assert.Equal(t, pings, 0, "the seed is still pinged")
}

// TestLateFirstTickIsNotAPause guards against the time between New and the
// first tick being taken for a pause.
func TestLateFirstTickIsNotAPause(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	state := New(Config{Self: Member{ID: "a", DataCentre: "oeste"}, Timing: DefaultTiming()}, at)
	for _, later := range []time.Duration{time.Minute, time.Minute + TickInterval} {
		for _, effect := range state.Step(Tick{At: at.Add(later)}) {
			_, isLogEvent := effect.(LogEvent)
			assert.Assert(t, !isLogEvent, "%+v", effect)
		}
	}
}

// TestDuplicateNodeID guards against two VMs whose settings name the same id.
// The later process stays the member; the other one must become isolated, which
// operators see in the log, and neither may flood the other nodes.
func TestDuplicateNodeID(t *testing.T) {
	s := newSim(t, 3, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	older := s.nodes["oeste-2"]
	newer := s.startNode("oeste-2", "oeste", 5)
	newer.state = New(Config{
		Self:       Member{ID: "oeste-2", Address: "twin", DataCentre: "oeste", Incarnation: 5},
		Seeds:      s.seeds,
		Timing:     s.timing,
		RandomSeed: 1,
	}, s.now)
	s.address["oeste-2"] = older
	s.address["twin"] = newer
	sent := func() (messages int) {
		for _, n := range s.started {
			messages += n.sentMsgs
		}
		return messages
	}
	before := sent()
	s.run(time.Minute)
	assert.Assert(t, sent()-before < 60*60, "%d messages in a minute", sent()-before)
	assert.Assert(t, older.isolations > 0)
	assert.Equal(t, s.nodes["oeste-0"].state.members["oeste-2"].Address, "twin")
}

// TestMessageLossCausesNoDeaths guards against live members being declared dead
// when a tenth of all messages is lost and the rest is reordered.
//
// fault: delayed and reordered replies x announce
func TestMessageLossCausesNoDeaths(t *testing.T) {
	for _, perDC := range []int{2, 3, 15} {
		s := newSim(t, perDC, "oeste", "serra")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		s.loss = 0.1
		s.jitter = 100 * time.Millisecond
		s.run(3 * time.Minute)
		suspects := 0
		for _, n := range s.live() {
			assert.Equal(t, n.deaths, 0, "%s of %d", n.id, perDC)
			suspects += n.suspects
		}
		t.Logf("%d nodes: %d suspicions", 2*perDC, suspects)
	}
}

// TestContactsAreBounded guards against a node of a large data centre that
// communicates with too many others, and against a node that is nobody's
// contact and so is never probed.
func TestContactsAreBounded(t *testing.T) {
	s := newSim(t, 100, "oeste")
	s.introduceAll()
	asked := map[string]map[string]bool{}
	probed := map[string]int{}
	s.onEffect = func(n *simNode, e Effect) {
		send, ok := e.(Send)
		if !ok || send.Message.Kind == KindAck || send.Message.Kind == KindPushAck {
			return
		}
		if asked[n.id] == nil {
			asked[n.id] = map[string]bool{}
		}
		asked[n.id][send.Address] = true
		if send.Message.Kind == KindPing {
			probed[send.Address]++
		}
	}
	s.run(40 * time.Second)
	for _, n := range s.started {
		assert.Assert(t, len(asked[n.id]) <= 40, "%s sent requests to %d nodes", n.id, len(asked[n.id]))
		assert.Assert(t, probed[n.id] > 4, "%s was probed %d times in 40 s", n.id, probed[n.id])
	}
}
