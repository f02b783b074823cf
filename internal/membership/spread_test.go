package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// propagationBound is the time in which the record of a draining target must
// reach every node.
const propagationBound = 2 * time.Second

// TestDrainReachesEveryNode guards against a drain that takes longer than
// propagationBound, in virtual time, to reach some node when messages are lost
// or reordered or when links are cut so that only a path of two hops is left.
//
// fault: cut both ways x drain
// fault: delayed and reordered replies x drain
func TestDrainReachesEveryNode(t *testing.T) {
	tests := []struct {
		name   string
		perDC  int
		dcs    []string
		loss   float64
		jitter time.Duration
		cut    func(from, to *simNode) bool
	}{
		{"nine nodes", 3, []string{"oeste", "serra", "litoral"}, 0, time.Millisecond, nil},
		{"nine nodes, a third lost", 3, []string{"oeste", "serra", "litoral"}, 0.3, 50 * time.Millisecond, nil},
		{"nine nodes, reordered", 3, []string{"oeste", "serra", "litoral"}, 0, 300 * time.Millisecond, nil},
		{"a pair cut", 4, []string{"oeste", "serra"}, 0.1, time.Millisecond, func(from, to *simNode) bool {
			return from.id == "oeste-0" && to.id != "oeste-1" || to.id == "oeste-0" && from.id != "oeste-1"
		}},
		{"two data centres cut from each other", 3, []string{"oeste", "serra", "litoral"}, 0, time.Millisecond, func(from, to *simNode) bool {
			return from.dc != to.dc && from.dc != "litoral" && to.dc != "litoral"
		}},
		{"eighty nodes, a tenth lost", 40, []string{"oeste", "serra"}, 0.1, 10 * time.Millisecond, nil},
		{"a hundred nodes", 100, []string{"oeste"}, 0.05, 10 * time.Millisecond, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.perDC, tt.dcs...)
			s.runUntil(30*time.Second, "membership complete", s.converged)
			const targets = 20
			for i := range targets {
				s.announce("oeste-0", announcement(targetID(i), "oeste", 1, "ready"))
			}
			s.runUntil(10*time.Second, "targets known everywhere", func() bool { return s.allSeeTargets("ready", targets) })
			s.loss, s.jitter, s.cut = tt.loss, tt.jitter, tt.cut
			s.run(100 * time.Millisecond)
			var longest time.Duration
			for i := range targets {
				s.announce("oeste-0", announcement(targetID(i), "oeste", 2, "draining"))
				took := s.runUntil(propagationBound, "drain known everywhere", func() bool {
					return s.allSeeTarget(targetID(i), api.TargetDraining)
				})
				longest = max(longest, took)
			}
			t.Logf("longest of %d: %s", targets, longest)
		})
	}
}

func targetID(i int) api.TargetID {
	return api.TargetID(fmt.Sprintf("lots-%d", i))
}

func (s *sim) allSeeTargets(state api.TargetState, targets int) bool {
	for i := range targets {
		if !s.allSeeTarget(targetID(i), state) {
			return false
		}
	}
	return true
}

// TestReportedDrainSpreads guards against the loss of a drain that one node
// learned from a reply: a renewal or an older reply that arrives after it must
// not undo it.
func TestReportedDrainSpreads(t *testing.T) {
	s := newSim(t, 3, "oeste", "serra")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	a := announcement("lots-1", "oeste", 1, "ready")
	s.announce("oeste-0", a)
	s.runUntil(2*time.Second, "target known everywhere", func() bool { return s.allSeeTarget("lots-1", "ready") })
	report := Reported{Target: "lots-1", Incarnation: 1, State: api.TargetDraining}
	report.At = s.now
	s.step(s.nodes["serra-2"], report)
	s.announce("oeste-1", a)
	s.runUntil(propagationBound, "reported drain known everywhere", func() bool { return s.allSeeTarget("lots-1", "draining") })
	old := report
	old.State = api.TargetReady
	s.step(s.nodes["serra-1"], old)
	s.run(time.Second)
	assert.Assert(t, s.allSeeTarget("lots-1", "draining"), "an older reply undid the drain")
	s.announce("oeste-1", announcement("lots-1", "oeste", 2, "ready"))
	s.runUntil(propagationBound, "a later announcement supersedes the report", func() bool { return s.allSeeTarget("lots-1", "ready") })
}

// TestRenewalsGoToOwnersOnly guards against renewals that cost more than one
// message to each of the two owners, whatever the number of nodes.
func TestRenewalsGoToOwnersOnly(t *testing.T) {
	s := newSim(t, 20, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	a := announcement("lots-1", "oeste", 1, "ready")
	a.LeaseMS = 60_000
	s.announce("oeste-0", a)
	s.run(10 * time.Second)
	renewals := 0
	s.onEffect = func(_ *simNode, e Effect) {
		if send, ok := e.(Send); ok && send.Message.Kind != KindPing && send.Message.Kind != KindAck && send.Message.Kind != KindDigest {
			assert.Equal(t, send.Message.Kind, KindRenew, "%+v", send.Message)
			renewals++
		}
	}
	for range 10 {
		s.announce("oeste-3", a)
		s.run(time.Second)
	}
	assert.Assert(t, renewals <= 20, "%d messages for 10 renewals", renewals)
	assert.Equal(t, s.nodes["oeste-3"].reply, api.AnnounceReply{Sequence: 1, RenewMS: 20_000})
}

// fault: kill x announce
func TestLeaseExpiry(t *testing.T) {
	s := newSim(t, 3, "oeste", "serra")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	a := announcement("lots-1", "oeste", 1, "ready")
	stop := s.renewing(a)
	s.run(time.Minute)
	assert.Assert(t, s.allSeeTarget("lots-1", "ready"))
	stop()
	lease := time.Duration(a.LeaseMS) * time.Millisecond
	s.run(lease - 3*time.Second)
	assert.Assert(t, s.allSeeTarget("lots-1", "ready"))
	s.runUntil(6*time.Second, "gone everywhere", func() bool { return s.allSeeTarget("lots-1", "gone") })
	s.announce("oeste-1", a)
	s.runUntil(propagationBound, "a late renewal restores the target", func() bool { return s.allSeeTarget("lots-1", "ready") })
	s.run(lease + 3*time.Second)
	assert.Assert(t, s.allSeeTarget("lots-1", "gone"))
	a.Incarnation++
	s.announce("oeste-0", a)
	s.runUntil(propagationBound, "a new incarnation restores the target", func() bool { return s.allSeeTarget("lots-1", "ready") })
}

// TestLeaseSurvivesLostRenewals guards against the expiry of a live target
// whose renewals reach some nodes but not one or both owners of its lease.
//
// fault: cut one way x announce
func TestLeaseSurvivesLostRenewals(t *testing.T) {
	tests := []struct {
		name string
		// lost reports whether the network loses renewals on the way to a node.
		lost func(owners []string, to *simNode) bool
	}{
		{"one owner receives none", func(owners []string, to *simNode) bool { return to.id == owners[0] }},
		{"neither owner receives any", func(owners []string, to *simNode) bool { return slices.Contains(owners, to.id) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 4, "oeste")
			s.runUntil(20*time.Second, "membership complete", s.converged)
			a := announcement("lots-1", "oeste", 1, "ready")
			s.announce("oeste-0", a)
			s.run(time.Second)
			var owners []string
			n := s.nodes["oeste-0"].state
			for _, e := range n.ownersOf(n.targets["lots-1"]) {
				owners = append(owners, e.ID)
			}
			renewing := s.live()
			renewing = slices.DeleteFunc(renewing, func(n *simNode) bool { return slices.Contains(owners, n.id) })
			blocked := false
			s.cut = func(_, to *simNode) bool { return blocked && tt.lost(owners, to) }
			for range 60 {
				blocked = true
				s.step(renewing[0], Announced{At: s.now, Announcement: a})
				blocked = false
				s.run(2 * time.Second)
			}
			for _, n := range s.live() {
				assert.DeepEqual(t, n.states["lots-1"], []api.TargetState{a.State})
			}
		})
	}
}

// TestRecentRenewalRefutesLeaseExpiry guards against a live target that is
// taken for gone because its owners get neither its renewals nor answers to
// their lease checks. The node that the target renews at must refute the expiry
// at once.
//
// fault: two at once x announce
func TestRecentRenewalRefutesLeaseExpiry(t *testing.T) {
	s := newSim(t, 4, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	a := announcement("lots-1", "oeste", 1, "ready")
	s.announce("oeste-0", a)
	s.run(time.Second)
	s.dropMessage = func(m Message) bool { return m.Kind == KindRenew }
	gone := 0
	for range 300 {
		s.step(s.nodes["oeste-0"], Announced{At: s.now, Announcement: a})
		s.run(200 * time.Millisecond)
		if s.nodes["oeste-0"].targetState("lots-1") != "ready" {
			gone++
		}
	}
	assert.Equal(t, gone, 0, "the node that received the renewals saw the target gone")
	s.runUntil(propagationBound, "target restored everywhere", func() bool { return s.allSeeTarget("lots-1", "ready") })
}

// TestLeaseMovesToNewOwners guards against leases that are lost when their
// owners crash: a target that goes on renewing must not expire, and the new
// owners must notice when it stops.
//
// fault: two at once x announce
func TestLeaseMovesToNewOwners(t *testing.T) {
	s := newSim(t, 5, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	a := announcement("lots-1", "oeste", 1, "ready")
	stop := s.renewing(a)
	s.run(5 * time.Second)
	n := s.nodes["oeste-0"].state
	for _, e := range slices.Clone(n.ownersOf(n.targets["lots-1"])) {
		s.nodes[e.ID].down = true
	}
	s.run(time.Minute)
	for _, n := range s.live() {
		assert.Assert(t, !slices.Contains(n.states["lots-1"], api.TargetGone), "%s saw the target gone", n.id)
	}
	stop()
	s.runUntil(10*time.Second, "gone everywhere", func() bool { return s.allSeeTarget("lots-1", "gone") })
}

// TestIsolatedOwnerExpiresNoLeases guards against an owner that hears from no
// peer and expires the leases of live targets.
//
// fault: cut both ways x announce
func TestIsolatedOwnerExpiresNoLeases(t *testing.T) {
	s := newSim(t, 3, "oeste", "serra")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	for i := range 10 {
		defer s.renewing(announcement(targetID(i), "oeste", 1, "ready"))()
	}
	s.run(10 * time.Second)
	alone := s.nodes["oeste-1"]
	s.cut = func(from, to *simNode) bool { return from == alone || to == alone }
	s.run(time.Minute)
	s.cut = nil
	s.runUntil(20*time.Second, "membership complete after the cut", s.converged)
	s.run(10 * time.Second)
	for _, n := range s.live() {
		for i := range 10 {
			assert.Assert(t, !slices.Contains(n.states[targetID(i)], api.TargetGone), "%s saw %s gone", n.id, targetID(i))
		}
	}
}

// TestGoneTargetStaysGone guards against a node that missed the end of a target
// and restores its old record at other nodes, both within the retention and
// after it.
func TestGoneTargetStaysGone(t *testing.T) {
	timing := DefaultTiming()
	timing.Retention = 10 * time.Minute
	for _, away := range []time.Duration{3 * time.Minute, 15 * time.Minute} {
		s := newSimWithTiming(t, timing, 2, "oeste", "serra")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		s.announce("oeste-0", announcement("lots-1", "oeste", 1, "ready"))
		s.runUntil(time.Second, "target known everywhere", func() bool { return s.allSeeTarget("lots-1", "ready") })
		late := s.nodes["serra-1"]
		late.paused = true
		s.announce("oeste-1", announcement("lots-1", "oeste", 2, "gone"))
		s.run(away)
		for _, n := range s.live() {
			n.states["lots-1"] = nil
		}
		late.held = nil
		s.resume(late)
		s.run(20 * time.Second)
		for _, n := range s.live() {
			state := n.targetState("lots-1")
			want := api.TargetGone
			if away > timing.Retention {
				want = ""
			}
			assert.Equal(t, state, want, "%s after %s", n.id, away)
			back := n != late && slices.Contains(n.states["lots-1"], api.TargetReady)
			assert.Assert(t, !back, "%s saw the target restored after %s", n.id, away)
		}
	}
}

// TestAnnouncementSurvivesNodeCrash guards against a drain that is lost because
// the node that it was announced to crashes right after its reply, while the
// first messages are lost: the reply must wait until another node has the
// record.
//
// fault: kill x drain
func TestAnnouncementSurvivesNodeCrash(t *testing.T) {
	s := newSim(t, 3, "oeste")
	s.runUntil(20*time.Second, "membership complete", s.converged)
	s.announce("oeste-0", announcement("lots-1", "oeste", 1, "ready"))
	s.runUntil(10*time.Second, "target known everywhere", func() bool { return s.allSeeTarget("lots-1", "ready") })
	n := s.nodes["oeste-0"]
	n.reply = api.AnnounceReply{}
	s.loss = 1
	s.announce("oeste-0", announcement("lots-1", "oeste", 2, "draining"))
	s.run(50 * time.Millisecond)
	s.loss = 0
	s.runUntil(time.Second, "reply to the target", func() bool { return n.reply.Sequence == 2 })
	n.down = true
	s.runUntil(propagationBound, "drain known everywhere", func() bool { return s.allSeeTarget("lots-1", "draining") })
}
