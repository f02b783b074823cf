package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// TestRandomFaults guards against nodes that stay in disagreement after random
// crashes, restarts, pauses, cuts and losses, several at once: once all faults
// are healed, a target that renews must be ready at every node, and one that has
// announced its end must be gone at every node and stay so.
//
// fault: two at once x drain
// fault: two at once x restart
// fault: stop and continue x drain
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := &randomRun{
				sim:    newSim(t, 3, "oeste", "serra", "litoral"),
				random: rand.New(rand.NewPCG(seed, 2)),
				cuts:   map[[2]string]bool{},
			}
			r.runUntil(20*time.Second, "membership complete", r.converged)
			r.cut = func(from, to *simNode) bool { return r.cuts[[2]string{from.id, to.id}] }
			stay := announcement("stays", "oeste", 1, api.TargetReady)
			defer r.renewing(stay)()
			leave := announcement("leaves", "serra", 1, api.TargetReady)
			r.announce("serra-0", leave)
			for i := range 60 {
				r.injectFault()
				r.run(time.Duration(r.random.IntN(3000)) * time.Millisecond)
				if n := r.anyLive("serra"); i == 30 && n != nil {
					r.announce(n.id, announcement("leaves", "serra", 2, api.TargetGone))
				}
			}
			r.heal()
			r.runUntil(40*time.Second, "nodes agree after the faults", r.agree)
			assert.Assert(t, r.allSeeTarget("stays", api.TargetReady))
			assert.Assert(t, r.allSeeTarget("leaves", api.TargetGone))
			r.run(30 * time.Second)
			assert.Assert(t, r.agree(), "nodes no longer agree")
			assert.Assert(t, r.allSeeTarget("leaves", api.TargetGone))
		})
	}
}

// randomRun is a sim with random faults.
type randomRun struct {
	*sim
	random *rand.Rand
	cuts   map[[2]string]bool
}

func (r *randomRun) injectFault() {
	ids := sortedKeys(r.nodes)
	a, b := ids[r.random.IntN(len(ids))], ids[r.random.IntN(len(ids))]
	n := r.nodes[a]
	switch r.random.IntN(7) {
	case 0:
		n.down = true
	case 1:
		r.restart(n)
	case 2:
		n.paused = !n.down
	case 3:
		r.resume(n)
	case 4:
		r.cuts[[2]string{a, b}] = true
	case 5:
		r.isolateDataCentre(n.dc)
	case 6:
		clear(r.cuts)
		r.loss = float64(r.random.IntN(3)) / 10
	}
}

func (r *randomRun) restart(n *simNode) {
	if !n.down {
		return
	}
	fresh := r.startNode(n.id, n.dc, n.state.Self().Incarnation+100)
	fresh.states = n.states
}

func (r *randomRun) isolateDataCentre(dc string) {
	for _, a := range r.nodes {
		for _, b := range r.nodes {
			if (a.dc == dc) != (b.dc == dc) {
				r.cuts[[2]string{a.id, b.id}] = true
			}
		}
	}
}

func (r *randomRun) heal() {
	clear(r.cuts)
	r.loss = 0
	for _, id := range sortedKeys(r.nodes) {
		n := r.nodes[id]
		r.resume(n)
		r.restart(n)
	}
}

// agree reports whether all nodes list each other as alive and have the same
// records.
func (r *randomRun) agree() bool {
	if !r.converged() {
		return false
	}
	for _, n := range r.live() {
		if n.state.tree.levels[0][0] != r.live()[0].state.tree.levels[0][0] {
			return false
		}
	}
	return true
}
