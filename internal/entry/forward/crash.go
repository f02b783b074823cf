package forward

import (
	"net/http"
	"time"

	"wigeonbay/internal/quarantine"
)

// A request may crash every target that runs it, and its caller sends it again. The
// quarantine answers that load: nodes report which requests a target was running when it
// crashed, and a request with several crashes and no answer is refused at all nodes.

const (
	// crashProbeDelay is the time for which a target that has lost a connection may leave
	// this node without a reply before it gets a health check.
	crashProbeDelay = 100 * time.Millisecond
	// suspicionLifetime is how long a lost connection may be the sign of a crash. A target
	// that neither replies nor refuses connections by then is cut off rather than crashed.
	suspicionLifetime = 3 * time.Second
	// maxSuspicions limits the requests that one crash is attributed to.
	maxSuspicions = 64
)

// suspicion is a request that a target was running when it lost the connection.
type suspicion struct {
	request  *request
	sent, at time.Time
}

// suspectCrash records that a target may have crashed while it ran an attempt. One that
// leaves ends its connections by itself.
func (s *State) suspectCrash(a *attempt) {
	t := a.target
	if s.targets[t.id()] != t || !t.acceptsWork() || len(t.suspicions) >= maxSuspicions {
		return
	}
	t.suspicions = append(t.suspicions, suspicion{a.part.request, a.sent, s.now})
	s.markUnverified(t)
}

// refuteCrash drops the suspicions from before an attempt was sent that the target has
// answered.
func (t *target) refuteCrash(sent time.Time) {
	for len(t.suspicions) > 0 && t.suspicions[0].at.Before(sent) {
		t.suspicions = t.suspicions[1:]
	}
}

// confirmCrash reports the requests that a target was running when it crashed, but for
// those that another target has answered: they don't crash every target.
func (s *State) confirmCrash(t *target) {
	suspicions := t.suspicions
	t.suspicions = nil
	for _, suspected := range suspicions {
		if suspected.request.replied || s.now.Sub(suspected.at) > suspicionLifetime {
			continue
		}
		s.report(quarantine.Report{
			Request: suspected.request.fingerprint, Target: t.id(), Incarnation: t.announcement.Incarnation,
			SentMS: suspected.sent.UnixMilli(), AtMS: suspected.at.UnixMilli(),
		})
	}
}

// observeAnswer records that a target has run a request without crashing. The first of a
// gather's answers is enough.
func (s *State) observeAnswer(r *request) {
	if r.replied {
		return
	}
	r.replied = true
	s.served.Add(r.fingerprint, s.now.UnixMilli())
	if s.quarantine.Suspects(r.fingerprint) {
		s.report(quarantine.Report{Request: r.fingerprint, AtMS: s.now.UnixMilli(), Survived: true})
	}
}

// report applies a report to this node's quarantine and has it sent to control processes.
func (s *State) report(r quarantine.Report) {
	verdict, changed := s.quarantine.Add(s.now, r)
	s.emit(ReportCrash{Report: r})
	if changed {
		s.emit(VerdictChanged{Verdict: verdict})
	}
}

// mergeVerdicts applies the verdicts of a control process. One on a request that a target
// has answered since the last crash is lifted.
func (s *State) mergeVerdicts(verdicts []quarantine.Verdict) {
	for _, v := range s.quarantine.Merge(s.now, verdicts) {
		if served := s.served.LastMS(v.Request); served > v.LastCrashMS && served > v.SurvivedMS {
			s.report(quarantine.Report{Request: v.Request, AtMS: served, Survived: true})
			continue
		}
		s.emit(VerdictChanged{Verdict: v})
	}
}

// refuseQuarantined refuses a request in quarantine, and reports whether it has.
func (s *State) refuseQuarantined(r *request) bool {
	verdict, ok := s.quarantine.Verdict(r.fingerprint)
	if !ok || !verdict.InForce(s.now) {
		return false
	}
	s.refuse(r, http.StatusServiceUnavailable, ReasonCrashes, s.addJitter(r, verdict.Until().Sub(s.now)))
	return true
}

// dropOldSuspicions drops the suspicions that can't be decided any more.
func (t *target) dropOldSuspicions(now time.Time) { t.refuteCrash(now.Add(-suspicionLifetime)) }

// needsCrashProbe reports whether a target that may have crashed is to be checked.
func (t *target) needsCrashProbe(now time.Time) bool {
	return len(t.suspicions) > 0 && now.Sub(t.suspicions[0].at) >= crashProbeDelay
}

// CountQuarantined returns the number of requests in quarantine at a time.
func (s *State) CountQuarantined(now time.Time) int {
	count := 0
	for _, v := range s.quarantine.Verdicts() {
		if v.InForce(now) {
			count++
		}
	}
	return count
}

// Verdicts returns the verdicts known to this node, and their checksum.
func (s *State) Verdicts() ([]quarantine.Verdict, uint64) {
	return s.quarantine.Verdicts(), s.quarantine.Checksum()
}
