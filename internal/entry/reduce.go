package entry

import (
	"fmt"
	"time"
)

// Reduce applies one event at the given time and returns the effects to carry
// out, in order. The returned slice is valid until the next call. The time must
// not decrease between calls.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.isolation.Advance(now)
	switch ev := ev.(type) {
	case ConfigInstalled:
		s.handleConfigInstalled(ev)
	case MembersChanged:
		s.handleMembersChanged(ev)
	case TargetChanged:
		s.handleTargetChanged(ev)
	case SearchArrived:
		s.handleSearchArrived(ev)
	case SearchCancelled:
		s.handleSearchCancelled(ev)
	case TimerFired:
		s.handleTimerFired(ev)
	case ShardsReplied:
		s.handleShardsReplied(ev)
	case AttemptFailed:
		s.handleAttemptFailed(ev)
	case ConnectionsChecked:
		s.handleConnectionsChecked(ev)
	case PassOnEnded:
		s.handlePassOnEnded(ev)
	case ProbeEnded:
		s.handleProbeEnded(ev)
	case SubmitArrived:
		s.handleSubmitArrived(ev)
	case ClaimDecided:
		s.handleClaimDecided(ev)
	case SubmitReplied:
		s.handleSubmitReplied(ev)
	case OutcomeRecorded:
		s.handleOutcomeRecorded(ev)
	case Tick:
		s.handleTick()
	default:
		panic(fmt.Sprintf("entry: event of unknown type %T", ev))
	}
	return s.effects
}
