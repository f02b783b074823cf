package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOneWayCut cuts one direction between a replica and the others.
//
// fault: cut-one-way x ticket
func TestOneWayCut(t *testing.T) {
	cases := []struct {
		name string
		// victim picks the replica, deaf or mute which direction is cut.
		victim     func(*simulation) *simNode
		deaf       bool
		leadsAfter bool // the old leader still leads
	}{
		{"leader that hears nobody", (*simulation).leader, true, false},
		{"leader that nobody hears", (*simulation).leader, false, false},
		{"follower that hears nobody", (*simulation).follower, true, true},
		{"follower that nobody hears", (*simulation).follower, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := settled(t)
			old, victim := sim.leader(), c.victim(sim)
			term := old.state.Term()
			sim.blocked = func(from, to string) bool {
				if c.deaf {
					return to == victim.id
				}
				return from == victim.id
			}
			sim.run(100)
			lead := sim.leader()
			assert.Assert(t, lead != nil, sim.describe())
			assert.Equal(t, lead == old, c.leadsAfter, sim.describe())
			if c.leadsAfter {
				assert.Equal(t, old.state.Term(), term, "a half-cut follower started elections")
			}
			before := sim.maxAcked()
			sim.proposeAt(lead, "x")
			sim.run(6)
			assert.Assert(t, sim.maxAcked() > before, sim.describe())
			if c.deaf {
				assert.Assert(t, victim.state.CurrentAt() < victim.state.now-simElection, "a deaf replica calls itself current")
			}
			sim.blocked = nil
			sim.run(60)
			assert.Equal(t, victim.state.applied, sim.maxAcked())
		})
	}
}

// TestDataCentreIsCutOff cuts the leader's data centre, two of five replicas,
// off from the others.
//
// fault: cut-data-centre x ticket
func TestDataCentreIsCutOff(t *testing.T) {
	sim := newSimulation("a", "b", "c", "d", "e")
	sim.fail = t.Fatalf
	sim.settle(60)
	old := sim.leader()
	beside := sim.follower()
	inside := func(id string) bool { return id == old.id || id == beside.id }
	sim.blocked = func(from, to string) bool { return inside(from) != inside(to) }
	sim.proposeAt(old, "in doubt")
	sim.run(100)
	lead := sim.leader()
	assert.Assert(t, !inside(lead.id), sim.describe())
	assert.Assert(t, old.state.role != RoleLeader && beside.state.role != RoleLeader, "the smaller side has a leader")
	before := sim.maxAcked()
	sim.proposeAt(lead, "x")
	sim.run(6)
	assert.Assert(t, sim.maxAcked() > before)
	for _, node := range []*simNode{old, beside} {
		assert.Assert(t, node.state.applied <= before)
		assert.Assert(t, node.state.CurrentAt() < node.state.now-simElection)
	}
	sim.blocked = nil
	sim.run(60)
	assert.Equal(t, sim.leader(), lead, "the side that came back deposed the leader")
	assert.Equal(t, old.state.applied, sim.maxAcked())
}
