package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOneWayPartition blocks the messages in one direction between a replica
// and the others. The group must keep committing, a follower must not disrupt
// its leader, and a replica that receives nothing must not report itself as
// current.
//
// fault: cut-one-way x ticket
func TestOneWayPartition(t *testing.T) {
	cases := []struct {
		name string
		// affected picks the replica. With blockInbound, messages to it are
		// blocked, otherwise those from it.
		affected     func(*simulation) *simNode
		blockInbound bool
		leadsAfter   bool // the old leader is still the leader
	}{
		{"leader receives nothing", (*simulation).leader, true, false},
		{"messages of leader are lost", (*simulation).leader, false, false},
		{"follower receives nothing", (*simulation).follower, true, true},
		{"messages of follower are lost", (*simulation).follower, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSettledSimulation(t)
			old, affected := sim.leader(), c.affected(sim)
			term := old.state.Term()
			sim.blocked = func(from, to string) bool {
				if c.blockInbound {
					return to == affected.id
				}
				return from == affected.id
			}
			sim.run(100)
			lead := sim.leader()
			assert.Assert(t, lead != nil, sim.describe())
			assert.Equal(t, lead == old, c.leadsAfter, sim.describe())
			if c.leadsAfter {
				assert.Equal(t, old.state.Term(), term, "a partitioned follower raised the term")
			}
			before := sim.maxAcked()
			sim.proposeAt(lead, "x")
			sim.run(6)
			assert.Assert(t, sim.maxAcked() > before, sim.describe())
			if c.blockInbound {
				assert.Assert(t, affected.state.CurrentAt() < affected.state.now-simElection, "a replica that receives nothing reports itself as current")
			}
			sim.blocked = nil
			sim.run(60)
			assert.Equal(t, affected.state.applied, sim.maxAcked())
		})
	}
}

// TestDataCentrePartition cuts the leader's data centre, with two of five
// replicas, off from the others. The majority elects a new leader, which the
// returning replicas must not depose.
//
// fault: cut-data-centre x ticket
func TestDataCentrePartition(t *testing.T) {
	sim := newSimulation("a", "b", "c", "d", "e")
	sim.fail = t.Fatalf
	sim.settle(60)
	old := sim.leader()
	companion := sim.follower()
	inside := func(id string) bool { return id == old.id || id == companion.id }
	sim.blocked = func(from, to string) bool { return inside(from) != inside(to) }
	sim.proposeAt(old, "uncommitted")
	sim.run(100)
	lead := sim.leader()
	assert.Assert(t, !inside(lead.id), sim.describe())
	assert.Assert(t, old.state.role != RoleLeader && companion.state.role != RoleLeader, "the minority has a leader")
	before := sim.maxAcked()
	sim.proposeAt(lead, "x")
	sim.run(6)
	assert.Assert(t, sim.maxAcked() > before)
	for _, node := range []*simNode{old, companion} {
		assert.Assert(t, node.state.applied <= before)
		assert.Assert(t, node.state.CurrentAt() < node.state.now-simElection)
	}
	sim.blocked = nil
	sim.run(60)
	assert.Equal(t, sim.leader(), lead, "the returning replicas deposed the leader")
	assert.Equal(t, old.state.applied, sim.maxAcked())
}
