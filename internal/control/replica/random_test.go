package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fixedSeed makes the property tests reproducible.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomAction performs one random action. The weights favour actions that make
// progress.
func (sim *simulation) randomAction() {
	node := sim.nodes[sim.ids[sim.choose("node", len(sim.ids))]]
	switch what := sim.choose("action", 100); {
	case what < 40:
		if len(sim.net) > 0 {
			sim.deliver(sim.choose("message", len(sim.net)), sim.choose("repeat", 20) == 0)
		}
	case what < 55:
		sim.sync(node, 1+sim.choose("writes", 3))
	case what < 67:
		sim.now += simHeartbeat / 2
		sim.tick(node, float64(sim.choose("jitter", 10))/10)
	case what < 75:
		sim.propose(node)
	case what < 80:
		sim.read(node)
	case what < 90:
		sim.runRound(sim.choose("round", 17))
	case what < 91:
		if len(sim.net) > 0 {
			sim.net = append([]Message(nil), sim.net[sim.choose("drop", len(sim.net)):]...)
		}
	case what < 93:
		sim.snapshot(node)
	case what < 95:
		sim.injectFault(node)
	case what < 96:
		sim.changeMembership()
	case what < 97:
		sim.step(node, TransferLeadership{})
	default:
		sim.clearFault(node)
	}
}

// injectFault injects a random fault into a node, or a time jump for all nodes.
func (sim *simulation) injectFault(node *simNode) {
	switch sim.choose("fault", 6) {
	case 0, 1:
		sim.disconnected[node.id] = true
	case 2, 3:
		sim.crash(node, sim.choose("survive", 3))
	case 4:
		sim.loseDisk(node)
	default:
		// All nodes are paused for a long time, so the clock of each jumps.
		sim.now += 5 * simElection
	}
}

// clearFault undoes injectFault for a node, except for a lost disk.
func (sim *simulation) clearFault(node *simNode) {
	delete(sim.disconnected, node.id)
	if node.state == nil {
		sim.start(node)
	}
}

func (sim *simulation) propose(node *simNode) {
	if sim.choose("at the leader", 4) > 0 && sim.leader() != nil {
		node = sim.leader()
	}
	sim.nextID++
	data := []byte(fmt.Sprint(sim.nextID))
	sim.step(node, Propose{Proposals: []Proposal{{ID: sim.nextID, Data: data}}})
}

func (sim *simulation) read(node *simNode) {
	if node.state == nil {
		return
	}
	sim.nextID++
	sim.reads[sim.nextID] = sim.maxAcked()
	sim.step(node, Read{ID: sim.nextID})
}

func (sim *simulation) snapshot(node *simNode) {
	if node.state == nil || node.state.applied <= node.durable.Snapshot.Index {
		return
	}
	index := node.state.applied
	if node.state.disk.stable < index {
		return // a snapshot is written after all earlier writes
	}
	term, _ := node.state.TermAt(index)
	node.install(SnapshotMeta{Index: index, Term: term, Membership: node.state.MembershipAt(index)}, false)
	sim.step(node, SnapshotSaved{Index: index, KeepFrom: index - min(index, uint64(sim.choose("tail", 3)))})
}

// changeMembership asks the leader for a random step of a membership change.
func (sim *simulation) changeMembership() {
	lead := sim.leader()
	if lead == nil {
		return
	}
	target := sim.nodes[sim.ids[sim.choose("target", len(sim.ids))]]
	var step Change
	switch sim.choose("change", 3) {
	case 0:
		step = AddLearner{Member{Identity: target.identity()}}
	case 1:
		step = Promote{target.identity()}
	default:
		candidates := lead.state.members.Members
		id := candidates[sim.choose("removed", len(candidates))].Identity
		// The leader can't know of a disk that was just lost. If an operator
		// removes a healthy voter at that moment, the group stops for good, as it
		// must; Control.Replace therefore promotes the new replica before it
		// removes a live voter.
		if sim.quorumLost(lead.state.members.without(id)) {
			return
		}
		step = Remove{id}
	}
	sim.nextID++
	sim.step(lead, ChangeMembers{ID: sim.nextID, Change: step})
}

func TestSafetyUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation("a", "b", "c")
		sim.addNode("d")
		sim.fail = rt.Fatalf
		sim.choose = func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		sim.settle(60)
		for range rapid.IntRange(10, 300).Draw(rt, "steps") {
			sim.randomAction()
		}
	})
}

// TestSafetyUnderLongWalks covers longer histories than the property test:
// random walks of thousands of events, after which the group must recover with
// nothing lost.
//
// fault: two-at-once x ticket
// fault: delayed-replies x ticket
// fault: delayed-replies x repair
// fault: kill x repair
func TestSafetyUnderLongWalks(t *testing.T) {
	const walks, steps = 60, 4000
	total := map[string]int{}
	for seed := range uint64(walks) {
		random := rand.New(rand.NewPCG(seed, 1))
		sim := newSimulation("a", "b", "c")
		sim.addNode("d")
		sim.addNode("e")
		sim.fail = func(format string, args ...any) {
			t.Helper()
			t.Fatalf("seed %d: %s", seed, fmt.Sprintf(format, args...))
		}
		sim.choose = func(_ string, n int) int { return random.IntN(n) }
		sim.settle(60)
		for range steps {
			sim.randomAction()
		}
		sim.settle(400)
		sim.checkProgress(t, seed)
		for what, count := range sim.eventCounts {
			total[what] += count
		}
	}
	t.Logf("%d walks of %d events: %v", walks, steps, total)
	for _, what := range []string{"commit", "leader", "membership", "lost disk", "read", "snapshot"} {
		assert.Assert(t, total[what] > walks, "too few events of kind %q in the walks: %v", what, total)
	}
}

// checkProgress checks that a settled group has a leader that commits entries,
// and that every voter with its disk intact has applied every committed entry.
func (sim *simulation) checkProgress(t *testing.T, seed uint64) {
	lead := sim.leader()
	assert.Assert(t, lead != nil, "seed %d: no leader after settling:%s", seed, sim.describe())
	before := sim.maxAcked()
	sim.step(lead, Propose{Proposals: []Proposal{{ID: 1 << 60, Data: []byte("last")}}})
	for round := range 40 {
		sim.runRound(round)
	}
	assert.Assert(t, sim.maxAcked() > before, "seed %d: the settled group commits no entry:%s", seed, sim.describe())
	for _, id := range lead.state.members.Voters() {
		node := sim.nodes[id.ID]
		if node.identity() != id {
			continue // the disk was lost and this voter has not been replaced
		}
		assert.Assert(t, node.state.applied >= sim.maxAcked(), "seed %d: %s has applied %d of %d", seed, id.ID, node.state.applied, sim.maxAcked())
	}
}
