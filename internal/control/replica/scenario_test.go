package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// newSettledSimulation returns a simulation of three voters with a leader, and
// one spare replica.
func newSettledSimulation(t *testing.T) *simulation {
	sim := newSimulation("a", "b", "c")
	sim.addNode("d")
	sim.fail = t.Fatalf
	sim.settle(60)
	assert.Assert(t, sim.leader() != nil)
	return sim
}

// run simulates the given number of heartbeat intervals.
func (sim *simulation) run(heartbeats int) {
	for round := range 2 * heartbeats {
		sim.runRound(round)
	}
}

func (sim *simulation) proposeAt(node *simNode, data string) {
	sim.nextID++
	sim.step(node, Propose{Proposals: []Proposal{{ID: sim.nextID, Data: []byte(data)}}})
}

// follower returns a voter that is a follower.
func (sim *simulation) follower() *simNode {
	for _, id := range sim.ids {
		if node := sim.nodes[id]; node.state != nil && node.state.role == RoleFollower && node.state.members.IsVoter(node.identity()) {
			return node
		}
	}
	panic("no follower")
}

// commitChange proposes a change at the leader and waits until it is committed.
func (sim *simulation) commitChange(t *testing.T, step Change) {
	t.Helper()
	lead := sim.leader()
	before := lead.state.membersIndex
	sim.step(lead, ChangeMembers{ID: 1, Change: step})
	assert.Assert(t, lead.state.membersIndex > before, "change was refused")
	sim.run(4)
	assert.Assert(t, sim.maxAcked() >= lead.state.membersIndex, "change was not committed")
}

// TestFrozenLeaderAnswersNoRead freezes the leader until another one is elected
// and has committed an entry. A read at the old leader must then fail: its
// state is stale.
//
// fault: stop-continue x ticket
func TestFrozenLeaderAnswersNoRead(t *testing.T) {
	sim := newSettledSimulation(t)
	old := sim.leader()
	sim.disconnected[old.id] = true
	frozen := old.state
	old.state = nil // receives no events
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
		sim.execute(old, effect)
	}
	for _, effect := range old.state.Step(Tick{Now: sim.now}) {
		failed = failed || effect == Effect(ReadFailed{ID: 77})
	}
	assert.Assert(t, failed, "the read was not refused")
	assert.Equal(t, old.state.Role(), RoleFollower)
}

func TestReconnectedReplicaDoesNotDisruptLeader(t *testing.T) {
	sim := newSettledSimulation(t)
	lead, isolated := sim.leader(), sim.follower()
	term := lead.state.Term()
	sim.disconnected[isolated.id] = true
	sim.run(500)
	assert.Equal(t, isolated.state.Term(), term, "an isolated replica raised its term")
	assert.Assert(t, isolated.state.CurrentAt() < isolated.state.now-simElection, "an isolated replica reports itself as current")
	delete(sim.disconnected, isolated.id)
	sim.run(40)
	assert.Equal(t, sim.leader(), lead)
	assert.Equal(t, lead.state.Term(), term)
	assert.Equal(t, isolated.state.Leader(), lead.identity())
	assert.Assert(t, isolated.state.CurrentAt() > isolated.state.now-simElection)
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	sim := newSettledSimulation(t)
	lead := sim.leader()
	sim.disconnected[lead.id] = true
	sim.run(11)
	assert.Assert(t, lead.state.Role() != RoleLeader)
}

func TestReplicaWithLostDiskNeitherVotesNorCampaigns(t *testing.T) {
	sim := newSettledSimulation(t)
	lead, emptied := sim.leader(), sim.follower()
	sim.loseDisk(emptied)
	sim.crash(lead, 0)
	sim.run(100)
	assert.Assert(t, sim.leader() == nil, "a replica that lost its disk helped to elect a leader")
	assert.Equal(t, emptied.state.Term(), uint64(0))
	sim.start(lead)
	sim.run(100)
	assert.Assert(t, sim.leader() != nil)
	assert.Equal(t, emptied.state.LastIndex(), uint64(0), "a replica that lost its disk was used under its old identity")
}

// replaceLostDisk replaces a voter whose disk was lost with its new
// incarnation.
func (sim *simulation) replaceLostDisk(t *testing.T, lost Identity, fresh Identity) {
	t.Helper()
	sim.commitChange(t, AddLearner{Member{Identity: fresh}})
	sim.run(20)
	sim.commitChange(t, Remove{lost})
	sim.commitChange(t, Promote{fresh})
}

// TestSecondDiskLossAfterRepairLosesNoEntry loses the leader's disk right after
// another replica's lost disk was repaired. The repaired replica must hold
// everything committed.
//
// fault: two-at-once x repair
func TestSecondDiskLossAfterRepairLosesNoEntry(t *testing.T) {
	sim := newSettledSimulation(t)
	for i := range 20 {
		sim.proposeAt(sim.leader(), fmt.Sprint(i))
	}
	sim.run(10)
	first := sim.follower()
	before := first.identity()
	sim.loseDisk(first)
	sim.run(20)
	sim.replaceLostDisk(t, before, first.identity())
	acked := sim.maxAcked()
	second := sim.leader()
	sim.loseDisk(second)
	sim.run(200)
	assert.Assert(t, sim.leader() != nil, sim.describe())
	assert.Assert(t, first.state.applied >= acked, "the repaired replica lacks committed entries")
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
		{"while another change is not committed", func(sim *simulation) *simNode {
			sim.step(sim.leader(), ChangeMembers{Change: AddLearner{spare}})
			return sim.leader()
		}, Remove{Identity{"b", "b1"}}, RefusedPending},
		{"before the leader's term has a commit", func(sim *simulation) *simNode {
			lead := sim.leader()
			lead.state.lead.termStart = lead.state.commit + 1
			return lead
		}, AddLearner{spare}, RefusedTermNotCommitted},
		{"of an unknown replica", (*simulation).leader, Promote{Identity{"x", "x1"}}, RefusedUnknown},
		{"of an earlier incarnation", (*simulation).leader, Remove{Identity{"b", "b0"}}, RefusedUnknown},
		{"straight to voter", (*simulation).leader, AddLearner{Member{Identity: Identity{"d", "d1"}, Voter: true}}, RefusedNotLearner},
		{"of a member into a learner", (*simulation).leader, AddLearner{Member{Identity: Identity{"b", "b1"}}}, RefusedIsMember},
		{"of a learner that lags", func(sim *simulation) *simNode {
			sim.step(sim.leader(), ChangeMembers{Change: AddLearner{spare}})
			sim.disconnected["d"] = true
			sim.run(4)
			return sim.leader()
		}, Promote{spare.Identity}, RefusedBehind},
		{"that leaves no live quorum", func(sim *simulation) *simNode {
			isolated := sim.follower()
			sim.disconnected[isolated.id] = true
			sim.run(15)
			return sim.leader()
		}, nil, RefusedNoQuorum},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSettledSimulation(t)
			node := c.prepare(sim)
			change := c.change
			if change == nil {
				change = Remove{sim.connectedFollower().identity()}
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

// connectedFollower returns a follower that is not disconnected.
func (sim *simulation) connectedFollower() *simNode {
	for _, id := range []string{"a", "b", "c"} {
		if node := sim.nodes[id]; node.state.role == RoleFollower && !sim.disconnected[id] {
			return node
		}
	}
	panic("no connected follower")
}

func TestInflightRequestsAreBounded(t *testing.T) {
	sim := newSettledSimulation(t)
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

// TestSlowDisksDoNotDeposeTheLeader completes no disk write for many election
// timeouts. The leader must stay leader and commit nothing until the writes are
// synced.
func TestSlowDisksDoNotDeposeTheLeader(t *testing.T) {
	sim := newSettledSimulation(t)
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

// TestLostAcknowledgementIsResent drops the replies to the last entries. No
// later proposal causes new acknowledgements, so heartbeat replies must repeat
// them.
func TestLostAcknowledgementIsResent(t *testing.T) {
	sim := newSettledSimulation(t)
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

// TestLeadershipTransfer starts a leadership transfer while proposals are in
// flight. The next leader must take over before an election timeout ends and
// hold them all.
func TestLeadershipTransfer(t *testing.T) {
	sim := newSettledSimulation(t)
	old := sim.leader()
	term := old.state.Term()
	for i := range 10 {
		sim.proposeAt(old, fmt.Sprint(i))
	}
	last := old.state.LastIndex()
	sim.step(old, TransferLeadership{})
	refused := old.state.Step(Propose{Proposals: []Proposal{{ID: 9}}})
	assert.DeepEqual(t, refused, []Effect{Refused{ID: 9, Reason: RefusedNotLeader}})
	heartbeats := int(simElection / simHeartbeat / 2) // too few for an election timeout
	sim.run(heartbeats)
	next := sim.leader()
	assert.Assert(t, next != nil && next != old, sim.describe())
	assert.Equal(t, next.state.Term(), term+1)
	sim.run(4)
	assert.Equal(t, sim.leader(), next)
	assert.Assert(t, sim.maxAcked() > last, "the new leader has committed nothing")
}

// TestLeaderResumesAfterFailedTransfer loses the messages of a leadership
// transfer. The leader must accept proposals again after an election timeout.
func TestLeaderResumesAfterFailedTransfer(t *testing.T) {
	sim := newSettledSimulation(t)
	lead := sim.leader()
	sim.proposeAt(lead, "x")
	sim.step(lead, TransferLeadership{})
	sim.net = nil
	lead.state.lead.transferStart -= 2 * simElection
	sim.run(2)
	before := sim.maxAcked()
	sim.proposeAt(lead, "y")
	sim.run(4)
	assert.Equal(t, sim.leader(), lead)
	assert.Assert(t, sim.maxAcked() > before)
}

// TestCommitReachesFollowersWithoutHeartbeat delivers and syncs everything
// while no time passes. Followers must learn the commit index before the next
// heartbeat.
func TestCommitReachesFollowersWithoutHeartbeat(t *testing.T) {
	sim := newSettledSimulation(t)
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
