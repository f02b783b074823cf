package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// settled returns a group of three that has a leader, and one spare replica.
func settled(t *testing.T) *simulation {
	sim := newSimulation("a", "b", "c")
	sim.addNode("d")
	sim.fail = t.Fatalf
	sim.settle(60)
	assert.Assert(t, sim.leader() != nil)
	return sim
}

// run lets the given number of heartbeats pass.
func (sim *simulation) run(beats int) {
	for round := range 2 * beats {
		sim.quiet(round)
	}
}

func (sim *simulation) proposeAt(node *simNode, data string) {
	sim.nextID++
	sim.step(node, Propose{Proposals: []Proposal{{ID: sim.nextID, Data: []byte(data)}}})
}

// follower returns a voter that does not lead.
func (sim *simulation) follower() *simNode {
	for _, id := range sim.ids {
		if node := sim.nodes[id]; node.state != nil && node.state.role == RoleFollower && node.state.members.IsVoter(node.identity()) {
			return node
		}
	}
	panic("no follower")
}

// changeNow makes a change at the leader and waits for its commit.
func (sim *simulation) changeNow(t *testing.T, step Change) {
	t.Helper()
	lead := sim.leader()
	before := lead.state.membersIndex
	sim.step(lead, ChangeMembers{ID: 1, Change: step})
	assert.Assert(t, lead.state.membersIndex > before, "change was refused")
	sim.run(4)
	assert.Assert(t, sim.maxAcked() >= lead.state.membersIndex, "change was not committed")
}

// TestFrozenLeaderAnswersNoRead freezes the leader while another is elected.
//
// fault: stop-continue x ticket
func TestFrozenLeaderAnswersNoRead(t *testing.T) {
	sim := settled(t)
	old := sim.leader()
	sim.cut[old.id] = true
	frozen := old.state
	old.state = nil // no event reaches it
	sim.run(60)
	next := sim.leader()
	assert.Assert(t, next != nil && next != old)
	sim.proposeAt(next, "x")
	sim.run(4)
	old.state = frozen
	sim.reads[77] = sim.maxAcked()
	var failed bool
	for _, effect := range old.state.Step(Read{ID: 77}) {
		assert.Assert(t, effect != Effect(ReadReady{ID: 77}), "a frozen leader answered a read")
		sim.carryOut(old, effect)
	}
	for _, effect := range old.state.Step(Tick{Now: sim.now}) {
		failed = failed || effect == Effect(ReadFailed{ID: 77})
	}
	assert.Assert(t, failed, "the read was not refused")
	assert.Equal(t, old.state.Role(), RoleFollower)
}

func TestReplicaBackFromIsolationDisturbsNobody(t *testing.T) {
	sim := settled(t)
	lead, away := sim.leader(), sim.follower()
	term := lead.state.Term()
	sim.cut[away.id] = true
	sim.run(500)
	assert.Equal(t, away.state.Term(), term, "an isolated replica raised its term")
	assert.Assert(t, away.state.CurrentAt() < away.state.now-simElection, "an isolated replica calls itself current")
	delete(sim.cut, away.id)
	sim.run(40)
	assert.Equal(t, sim.leader(), lead)
	assert.Equal(t, lead.state.Term(), term)
	assert.Equal(t, away.state.Leader(), lead.identity())
	assert.Assert(t, away.state.CurrentAt() > away.state.now-simElection)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	sim := settled(t)
	lead := sim.leader()
	sim.cut[lead.id] = true
	sim.run(11)
	assert.Assert(t, lead.state.Role() != RoleLeader)
}

func TestLostDiskNeitherVotesNorStands(t *testing.T) {
	sim := settled(t)
	lead, victim := sim.leader(), sim.follower()
	sim.loseDisk(victim)
	sim.crash(lead, 0)
	sim.run(100)
	assert.Assert(t, sim.leader() == nil, "a replica without its disk helped to elect a leader")
	assert.Equal(t, victim.state.Term(), uint64(0))
	sim.start(lead)
	sim.run(100)
	assert.Assert(t, sim.leader() != nil)
	assert.Equal(t, victim.state.LastIndex(), uint64(0), "a replica without its disk was counted under its old identity")
}

// repair brings a replica whose disk was lost back as a voter.
func (sim *simulation) repair(t *testing.T, lost Identity, fresh Identity) {
	t.Helper()
	sim.changeNow(t, AddLearner{Member{Identity: fresh}})
	sim.run(20)
	sim.changeNow(t, Remove{lost})
	sim.changeNow(t, Promote{fresh})
}

// TestSecondLossRightAfterRepairLosesNothing empties the leader's disk as soon as
// another one's loss is repaired.
//
// fault: two-at-once x repair
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	sim := settled(t)
	for i := range 20 {
		sim.proposeAt(sim.leader(), fmt.Sprint(i))
	}
	sim.run(10)
	first := sim.follower()
	before := first.identity()
	sim.loseDisk(first)
	sim.run(20)
	sim.repair(t, before, first.identity())
	acked := sim.maxAcked()
	second := sim.leader()
	sim.loseDisk(second)
	sim.run(200)
	assert.Assert(t, sim.leader() != nil, sim.describe())
	assert.Assert(t, first.state.applied >= acked, "the repaired replica lacks what was committed")
	sim.proposeAt(sim.leader(), "after")
	sim.run(10)
	assert.Assert(t, sim.maxAcked() > acked)
}

func TestMembershipChangeIsRefused(t *testing.T) {
	spare := Member{Identity: Identity{"d", "d1"}}
	cases := []struct {
		name    string
		prepare func(*simulation) *simNode
		change  Change
		want    RefusalReason
	}{
		{"at a follower", (*simulation).follower, AddLearner{spare}, RefusedNotLeader},
		{"while another one is not committed", func(sim *simulation) *simNode {
			sim.step(sim.leader(), ChangeMembers{Change: AddLearner{spare}})
			return sim.leader()
		}, Remove{Identity{"b", "b1"}}, RefusedPending},
		{"before the leader's term has a commit", func(sim *simulation) *simNode {
			lead := sim.leader()
			lead.state.lead.termStart = lead.state.commit + 1
			return lead
		}, AddLearner{spare}, RefusedNewTerm},
		{"of an unknown replica", (*simulation).leader, Promote{Identity{"x", "x1"}}, RefusedUnknown},
		{"of an earlier incarnation", (*simulation).leader, Remove{Identity{"b", "b0"}}, RefusedUnknown},
		{"straight to voter", (*simulation).leader, AddLearner{Member{Identity: Identity{"d", "d1"}, Voter: true}}, RefusedVoterFirst},
		{"of a member to learner", (*simulation).leader, AddLearner{Member{Identity: Identity{"b", "b1"}}}, RefusedIsMember},
		{"of a learner that lags", func(sim *simulation) *simNode {
			sim.step(sim.leader(), ChangeMembers{Change: AddLearner{spare}})
			sim.cut["d"] = true
			sim.run(4)
			return sim.leader()
		}, Promote{spare.Identity}, RefusedBehind},
		{"that leaves no live quorum", func(sim *simulation) *simNode {
			away := sim.follower()
			sim.cut[away.id] = true
			sim.run(15)
			return sim.leader()
		}, nil, RefusedNoQuorum},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := settled(t)
			node := c.prepare(sim)
			change := c.change
			if change == nil {
				change = Remove{sim.liveFollower().identity()}
			}
			refused := RefusalReason("")
			for _, effect := range node.state.Step(ChangeMembers{ID: 5, Change: change}) {
				if e, ok := effect.(Refused); ok {
					refused = e.Reason
				}
			}
			assert.Equal(t, refused, c.want)
		})
	}
}

// liveFollower returns a follower that is not cut off.
func (sim *simulation) liveFollower() *simNode {
	for _, id := range []string{"a", "b", "c"} {
		if node := sim.nodes[id]; node.state.role == RoleFollower && !sim.cut[id] {
			return node
		}
	}
	panic("no live follower")
}

func TestWindowOfUnansweredRequestsIsBounded(t *testing.T) {
	sim := settled(t)
	lead := sim.leader()
	sim.net = nil
	const proposals = 100
	for i := range proposals {
		sim.proposeAt(lead, fmt.Sprint(i))
	}
	sent := 0
	for _, m := range sim.net {
		if request, ok := m.Body.(AppendRequest); ok && len(request.Entries) > 0 {
			sent++
		}
	}
	followers := 2
	assert.Equal(t, sent, followers*lead.state.cfg.MaxInflight)
	sim.run(200)
	assert.Assert(t, sim.follower().state.applied >= proposals)
}

// TestSlowDisksDoNotDeposeTheLeader lets no write of a follower finish for many
// election timeouts.
func TestSlowDisksDoNotDeposeTheLeader(t *testing.T) {
	sim := settled(t)
	lead := sim.leader()
	term := lead.state.Term()
	sim.proposeAt(lead, "x")
	for range 100 {
		sim.now += simHeartbeat / 2
		for _, id := range sim.ids {
			sim.tick(sim.nodes[id], 0)
		}
		for range len(sim.net) {
			sim.deliver(0, false)
		}
	}
	assert.Equal(t, lead.state.Role(), RoleLeader)
	assert.Equal(t, lead.state.Term(), term)
	assert.Assert(t, sim.maxAcked() < lead.state.LastIndex(), "committed on unsynced entries")
	sim.run(4)
	assert.Equal(t, sim.maxAcked(), lead.state.LastIndex())
}

// TestLostAcknowledgementIsToldAgain drops the replies to the last entries; no
// later proposal makes up for them.
func TestLostAcknowledgementIsToldAgain(t *testing.T) {
	sim := settled(t)
	lead := sim.leader()
	sim.net = nil
	sim.proposeAt(lead, "x")
	for range len(sim.net) {
		sim.deliver(0, false)
	}
	for _, id := range sim.ids {
		sim.sync(sim.nodes[id], len(sim.nodes[id].pending))
	}
	sim.net = nil
	sim.run(4)
	assert.Equal(t, sim.maxAcked(), lead.state.LastIndex())
}

// TestLeaderHandsOver lets the leader step aside while proposals are on their
// way: the next one leads at once and holds them all.
func TestLeaderHandsOver(t *testing.T) {
	sim := settled(t)
	old := sim.leader()
	term := old.state.Term()
	for i := range 10 {
		sim.proposeAt(old, fmt.Sprint(i))
	}
	last := old.state.LastIndex()
	sim.step(old, StepAside{})
	refused := old.state.Step(Propose{Proposals: []Proposal{{ID: 9}}})
	assert.DeepEqual(t, refused, []Effect{Refused{ID: 9, Reason: RefusedNotLeader}})
	beats := int(simElection / simHeartbeat / 2) // no election timeout can end
	sim.run(beats)
	next := sim.leader()
	assert.Assert(t, next != nil && next != old, sim.describe())
	assert.Equal(t, next.state.Term(), term+1)
	sim.run(4)
	assert.Equal(t, sim.leader(), next)
	assert.Assert(t, sim.maxAcked() > last, "the new leader has committed nothing")
}

// TestLeaderThatCanNotHandOverGoesOn has nobody to hand over to.
func TestLeaderThatCanNotHandOverGoesOn(t *testing.T) {
	sim := settled(t)
	lead := sim.leader()
	sim.proposeAt(lead, "x")
	sim.step(lead, StepAside{})
	sim.net = nil
	lead.state.lead.leavingSince -= 2 * simElection
	sim.run(2)
	before := sim.maxAcked()
	sim.proposeAt(lead, "y")
	sim.run(4)
	assert.Equal(t, sim.leader(), lead)
	assert.Assert(t, sim.maxAcked() > before)
}

// TestCommitReachesFollowersWithoutAHeartbeat delivers and syncs everything
// while no time passes.
func TestCommitReachesFollowersWithoutAHeartbeat(t *testing.T) {
	sim := settled(t)
	sim.proposeAt(sim.leader(), "x")
	for range 4 {
		for range len(sim.net) {
			sim.deliver(0, false)
		}
		for _, id := range sim.ids {
			sim.sync(sim.nodes[id], len(sim.nodes[id].pending))
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		assert.Equal(t, sim.nodes[id].state.applied, sim.leader().state.LastIndex(), id)
	}
}
