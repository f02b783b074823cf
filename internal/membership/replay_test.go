package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// TestReplay guards against effects that depend on anything but the
// configuration and the events: the events recorded at one node, applied to a
// new state, must give the same effects. Otherwise a recorded run could not
// reproduce a fault.
func TestReplay(t *testing.T) {
	s := newSim(t, 6, "oeste", "serra")
	recorded := s.started[0]
	var events []Event
	var effects []string
	s.onStep = func(n *simNode, event Event) {
		if n == recorded {
			events = append(events, event)
		}
	}
	s.onEffect = func(n *simNode, e Effect) {
		if n == recorded {
			effects = append(effects, fmt.Sprintf("%+v", e))
		}
	}
	for i := range 600 {
		stop := s.renewing(announcement(targetID(i), "oeste", 1, api.TargetReady))
		s.after(10*time.Second, stop)
	}
	s.run(5 * time.Second)
	s.nodes["oeste-3"].down = true
	s.startNode("oeste-9", "oeste", 1)
	s.run(time.Second)
	s.loss = 0.3
	s.run(20 * time.Second)

	fresh := New(recorded.config, s.start)
	var again []string
	for _, event := range events {
		for _, e := range fresh.Step(event) {
			again = append(again, fmt.Sprintf("%+v", e))
		}
	}
	assert.Equal(t, len(again), len(effects))
	for i := range effects {
		assert.Equal(t, again[i], effects[i], "effect %d", i)
	}
}
