package entry

import (
	"fmt"
	"time"
)

// Reduce applies one event at the given time and returns the effects to carry
// out, in order. The returned slice is valid until the next call. Time must
// not run backwards.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case ConfigInstalled:
		s.installConfig(ev)
	case MembersChanged:
		s.changeMembers(ev)
	case TargetChanged:
		s.changeTarget(ev)
	case SearchArrived:
		s.arriveSearch(ev)
	case SearchCancelled:
		s.cancelSearch(ev)
	case TimerFired:
		s.fireTimer(ev)
	case ShardsReplied:
		s.takeReply(ev)
	case AttemptFailed:
		s.failAttempt(ev)
	case ConnectionsChecked:
		s.replaceSilent(ev)
	case SubmitArrived:
		s.arriveSubmit(ev)
	case ClaimDecided:
		s.decideClaim(ev)
	case SubmitReplied:
		s.takeSubmitReply(ev)
	case OutcomeRecorded:
		s.finishRecord(ev)
	case Tick:
		s.tick()
	default:
		panic(fmt.Sprintf("entry: event of unknown type %T", ev))
	}
	return s.effects
}
