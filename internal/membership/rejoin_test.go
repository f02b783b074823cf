package membership

import (
	"testing"
	"time"
)

// TestRestartAfterGracefulLeave has a node leave, and its VM come back at once
// with a new process: the others remember the old one as gone for a while, and
// must take the new one in all the same.
func TestRestartAfterGracefulLeave(t *testing.T) {
	for _, perDC := range []int{1, 2, 10} {
		s := newSim(t, perDC, "oeste", "serra", "litoral")
		s.runUntil(20*time.Second, "membership complete", s.converged)
		n := s.nodes["oeste-0"]
		s.step(n, LeaveAsked{At: s.now})
		s.runUntil(2*time.Second, "leave acknowledged", func() bool { return n.leaveDone })
		n.down = true
		s.runUntil(5*time.Second, "leave seen everywhere", s.converged)
		s.startNode("oeste-0", "oeste", 2)
		s.runUntil(5*time.Second, "membership complete again", s.converged)
	}
}
