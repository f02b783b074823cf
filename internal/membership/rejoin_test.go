package membership

import (
	"testing"
	"time"
)

// TestRestartAfterGracefulLeave guards against a node that leaves and can't
// join again when its VM starts a new process at once: its peers still remember
// the old process as left.
func TestRestartAfterGracefulLeave(t *testing.T) {
	for _, perDC := range []int{1, 2, 10} {
		s := newSim(t, perDC, "oeste", "serra", "litoral")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		n := s.nodes["oeste-0"]
		s.step(n, LeaveRequested{At: s.now})
		s.runUntil(2*time.Second, "leave acknowledged", func() bool { return n.leaveDone })
		n.down = true
		s.runUntil(5*time.Second, "leave seen everywhere", s.converged)
		s.startNode("oeste-0", "oeste", 2)
		s.runUntil(5*time.Second, "membership complete again", s.converged)
	}
}
