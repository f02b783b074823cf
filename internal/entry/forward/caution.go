package forward

import (
	"slices"
	"time"
)

// A gather that crashes every target that runs it takes one target of each pool with its
// first attempts, and would take another one with its second ones and with each return of its
// caller, before the quarantine knows of the crashes. The load answered is that of such a
// request: after some connections are lost in the middle of it, its parts wait for an answer
// of a target that has run one of them, and other callers keep the targets that are left.

const (
	// maxUnansweredLosses is the number of attempts of a gather that may end with a lost
	// connection before further ones wait for an answer.
	maxUnansweredLosses = 1
	// crashRetryTime is the retry time of a gather that has lost more. By then the targets
	// have got health checks, and all nodes know what has crashed them.
	crashRetryTime = 4 * crashProbeDelay
)

// maxLosses limits the contents whose losses are kept.
const maxLosses = 1024

// losses are the attempts at requests with the same content whose connections were lost,
// none of which a target has answered.
type losses struct {
	count int
	last  time.Time
}

// observeLoss counts an attempt of a gather that has ended with a lost connection.
func (s *State) observeLoss(r *request) {
	if !r.route.config.IsGather() || r.replied {
		return
	}
	r.losses++
	if _, known := s.losses[r.fingerprint]; r.mayCrashTargets() && (known || len(s.losses) < maxLosses) {
		s.losses[r.fingerprint] = losses{count: r.losses, last: s.now}
	}
}

// inheritLosses counts those of an earlier request with the same content for a new one.
func (s *State) inheritLosses(r *request) {
	if l, known := s.losses[r.fingerprint]; known && s.now.Sub(l.last) <= suspicionLifetime {
		r.losses = l.count
	}
}

// forgetOldLosses drops losses that can't be the sign of a crash any more.
func (s *State) forgetOldLosses() {
	for fingerprint, l := range s.losses {
		if s.now.Sub(l.last) > suspicionLifetime {
			delete(s.losses, fingerprint)
		}
	}
}

// mayCrashTargets reports whether a request has lost so many connections without an answer
// that no further target should run it before one has answered it.
func (r *request) mayCrashTargets() bool {
	return !r.replied && r.losses > maxUnansweredLosses
}

// isInFlight reports whether a part of the request is at a target or queued for one.
func (r *request) isInFlight() bool {
	return slices.ContainsFunc(r.parts, func(p *part) bool { return len(p.outstanding) > 0 || p.phase == partWaiting })
}

// hold keeps a part until settleHeld decides on it.
func (s *State) hold(p *part) {
	s.counters.Held++
	p.phase = partHeld
	p.request.held++
}

// settleHeld dispatches the held parts of a request once a target has answered one of its
// parts, and gives them up if no part is left that a target may answer.
func (s *State) settleHeld(r *request) {
	if r.held == 0 || r.mayCrashTargets() && r.isInFlight() {
		return
	}
	r.held = 0
	giveUp := r.mayCrashTargets()
	for _, p := range r.parts {
		switch {
		case r.done || r.handedOver:
			return
		case p.phase != partHeld:
		case giveUp:
			s.markMissing(p)
		case p.counted:
			p.phase = partIdle
			s.sendAgain(p)
		default:
			p.phase = partIdle
			s.dispatch(p)
		}
	}
}
