package forward

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

const sharedAddress = "10.0.0.1:80"

func registrationOf(id, service string, incarnation uint64, address string) api.Announcement {
	return api.Announcement{
		Target: api.TargetID(id), Service: service, DataCentre: home, Incarnation: incarnation, Sequence: 1,
		Address: address, State: api.TargetReady, Slots: 3,
	}
}

// newSharedHarness returns a harness with a route to each of two services, "first" and
// "second", and a target of the first one.
func newSharedHarness(t *testing.T) *harness {
	h := newHarness(t, newTable(1, plainRoute("first", "first", true), plainRoute("second", "second", true)))
	h.apply(TargetChanged{Announcement: registrationOf("own", "first", 5, sharedAddress)})
	return h
}

// sendsTo returns the target that a request on a route is sent to, "" for none.
func (h *harness) sendsTo(route string) api.TargetID {
	sends := h.sends(h.arrive(route))
	if len(sends) == 0 {
		return ""
	}
	h.endAttempt(sends[0].Attempt, OutcomeSuccess, http.StatusOK)
	return sends[0].Target
}

// TestAnnouncementsOfUnnamedServicesOutrankNobody guards against another writer that takes
// TestAnnouncementsOfUnnamedServicesOutrankNobody guards against another writer that takes
// running searchers out of use with announcements of a service that no table names.
//
// fault: other-writer x forward
func TestAnnouncementsOfUnnamedServicesOutrankNobody(t *testing.T) {
	for name, other := range map[string]api.Announcement{
		"an ID of its own":     registrationOf("agent", "unnamed", 9, sharedAddress),
		"the target's ID":      registrationOf("own", "unnamed", 9, sharedAddress),
		"its ID elsewhere":     registrationOf("own", "unnamed", 9, "10.0.0.2:80"),
		"greatest incarnation": registrationOf("agent", "unnamed", math.MaxUint64, sharedAddress),
	} {
		for _, state := range []api.TargetState{api.TargetReady, api.TargetDraining, api.TargetGone} {
			t.Run(name+", "+string(state), func(t *testing.T) {
				h := newSharedHarness(t)
				other.State = state
				effects := h.apply(TargetChanged{Announcement: other})
				assert.Equal(t, len(find[Forget](effects)), 0)
				assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
				draining := registrationOf("own", "first", 5, sharedAddress)
				draining.Sequence, draining.State = 2, api.TargetDraining
				h.apply(TargetChanged{Announcement: draining})
				assert.Equal(t, h.sendsTo("first"), api.TargetID(""), "the target's own word holds")
			})
		}
	}
}

// TestReusedAddressBelongsToTheNewTargetAtOnce checks that nothing is sent to the target that
// was at an address before, whatever is announced of it late.
func TestReusedAddressBelongsToTheNewTargetAtOnce(t *testing.T) {
	h := newSharedHarness(t)
	effects := h.apply(TargetChanged{Announcement: registrationOf("new", "second", 8, sharedAddress)})
	assert.DeepEqual(t, find[Forget](effects), []Forget{{Target: "own"}})
	assert.Equal(t, find[TargetDisplaced](effects)[0].By.Target, api.TargetID("new"))
	assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
	assert.Equal(t, h.sendsTo("second"), api.TargetID("new"))

	late := registrationOf("own", "first", 5, sharedAddress)
	late.Sequence = 9
	h.apply(TargetChanged{Announcement: late})
	h.apply(TargetChanged{Announcement: registrationOf("unknown", "first", 4, sharedAddress)})
	assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
	assert.Equal(t, h.sendsTo("second"), api.TargetID("new"))

	gone := registrationOf("new", "second", 8, sharedAddress)
	gone.State = api.TargetGone
	h.apply(TargetChanged{Announcement: gone})
	assert.Equal(t, h.sendsTo("first"), api.TargetID(""), "the new target's end doesn't bring back the old one")
	h.apply(TargetChanged{Announcement: registrationOf("own", "first", 10, sharedAddress)})
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"), "its next incarnation takes the address at once")
}

// TestReusedIDBelongsToTheNewIncarnationAtOnce checks a target that starts again under its ID,
// in another service or in its own.
func TestReusedIDBelongsToTheNewIncarnationAtOnce(t *testing.T) {
	h := newSharedHarness(t)
	h.apply(TargetChanged{Announcement: registrationOf("own", "second", 8, "10.0.0.2:80")})
	assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
	assert.Equal(t, h.sendsTo("second"), api.TargetID("own"))
	h.apply(TargetChanged{Announcement: registrationOf("own", "first", 9, "10.0.0.3:80")})
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
	assert.Equal(t, h.sendsTo("second"), api.TargetID(""))
}

// TestServiceThatIsNamedLaterTakesItsAddresses checks targets that start before the table that
// names their service.
func TestServiceThatIsNamedLaterTakesItsAddresses(t *testing.T) {
	h := newSharedHarness(t)
	h.apply(TargetChanged{Announcement: registrationOf("new", "later", 8, sharedAddress)})
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
	h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("later", "later", true))})
	assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
	assert.Equal(t, h.sendsTo("later"), api.TargetID("new"))
	effects := h.apply(TableInstalled{Table: newTable(3, plainRoute("first", "first", true))})
	assert.Equal(t, len(find[TargetRestored](effects)), 1)
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
}

// TestBeforeTheFirstTableEveryServiceCounts checks that the first table decides about what was
// announced before it.
func TestBeforeTheFirstTableEveryServiceCounts(t *testing.T) {
	h := newHarness(t, nil)
	h.apply(TargetChanged{Announcement: registrationOf("own", "first", 5, sharedAddress)})
	h.apply(TargetChanged{Announcement: registrationOf("agent", "unnamed", 9, sharedAddress)})
	h.apply(TableInstalled{Table: newTable(1, plainRoute("first", "first", true))})
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
}

// TestTargetThatAnswersItselfOutranksLaterRegistrations has another writer register in a named
// service with a target's address. What is found at the address decides.
func TestTargetThatAnswersItselfOutranksLaterRegistrations(t *testing.T) {
	stray := registrationOf("agent", "second", 9, sharedAddress)
	t.Run("by a request", func(t *testing.T) {
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: stray})
		assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
		effects := h.endAttempt(h.onlySend(h.arrive("second")).Attempt, OutcomeWrongTarget, http.StatusMisdirectedRequest)
		assert.Equal(t, len(find[TargetRestored](effects)), 1)
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
		h.apply(TargetChanged{Announcement: stray})
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"), "the same word again changes nothing")
		stray := stray
		stray.Incarnation = 10
		h.apply(TargetChanged{Announcement: stray})
		assert.Equal(t, h.sendsTo("first"), api.TargetID(""), "a new incarnation is believed")
	})
	t.Run("by a health check", func(t *testing.T) {
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: stray})
		h.apply(ProbeEnded{Target: "agent", Incarnation: 9, Answered: true, AnsweredBy: "own"})
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
		h.apply(ProbeEnded{Target: "agent", Incarnation: 9, Answered: true, Healthy: true, AnsweredBy: "agent"})
		assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
	})
	t.Run("by the target's ID elsewhere", func(t *testing.T) {
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: registrationOf("own", "second", 9, "10.0.0.2:80")})
		h.endAttempt(h.onlySend(h.arrive("second")).Attempt, OutcomeWrongTarget, http.StatusMisdirectedRequest)
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
	})
	t.Run("an address that is used again by an unnamed service", func(t *testing.T) {
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: registrationOf("new", "unnamed", 9, sharedAddress)})
		effects := h.endAttempt(h.onlySend(h.arrive("first")).Attempt, OutcomeWrongTarget, http.StatusMisdirectedRequest)
		assert.Equal(t, find[TargetDisplaced](effects)[0].Announcement.Target, api.TargetID("own"))
		assert.Equal(t, len(find[Probe](h.tickFor(3*maxProbeInterval))), 0, "nobody needs to ask there again")
	})
}

// TestTableThatNamesAServiceLaterTakesNoTargetThatAnswers has another writer announce that service before.
//
// fault: other-writer x forward
func TestTableThatNamesAServiceLaterTakesNoTargetThatAnswers(t *testing.T) {
	for name, stray := range map[string]api.Announcement{
		"an ID of its own": registrationOf("agent", "later", 9, sharedAddress),
		"its ID elsewhere": registrationOf("own", "later", 9, "10.0.0.2:80"),
	} {
		for outcome, status := range map[Outcome]int{OutcomeSuccess: http.StatusOK, OutcomeFailure: http.StatusNotFound} {
			t.Run(name+", "+outcome.String(), func(t *testing.T) {
				h := newSharedHarness(t)
				h.apply(TargetChanged{Announcement: stray})
				h.advance(time.Second)
				h.endAttempt(h.onlySend(h.arrive("first")).Attempt, outcome, status)
				effects := h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("later", "later", true))})
				assert.Equal(t, len(find[Forget](effects)), 0)
				assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
				assert.Equal(t, h.sendsTo("later"), api.TargetID(""), "the address is known to be another target's")
			})
		}
	}
	t.Run("the ID of one target and the address of another", func(t *testing.T) {
		const otherAddress = "10.0.0.2:80"
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: registrationOf("other", "second", 5, otherAddress)})
		h.apply(TargetChanged{Announcement: registrationOf("own", "later", 9, otherAddress)})
		h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("second", "second", true))})
		h.advance(time.Second)
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
		h.apply(TableInstalled{Table: newTable(3, plainRoute("first", "first", true), plainRoute("second", "second", true), plainRoute("later", "later", true))})
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
		assert.Equal(t, h.sendsTo("second"), api.TargetID("other"))
	})
	t.Run("one that another target may have refused", func(t *testing.T) {
		h := newSharedHarness(t)
		h.apply(TargetChanged{Announcement: registrationOf("new", "later", 9, sharedAddress)})
		h.advance(time.Second)
		h.endAttempt(h.onlySend(h.arrive("first")).Attempt, OutcomeNotRun, http.StatusServiceUnavailable)
		h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("later", "later", true))})
		assert.Equal(t, h.sendsTo("later"), api.TargetID("new"))
	})
	t.Run("one whose answer is older", func(t *testing.T) {
		h := newSharedHarness(t)
		send := h.onlySend(h.arrive("first"))
		h.advance(time.Second)
		h.apply(TargetChanged{Announcement: registrationOf("new", "later", 9, sharedAddress)})
		h.endAttempt(send.Attempt, OutcomeSuccess, http.StatusOK)
		h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("later", "later", true))})
		assert.Equal(t, h.sendsTo("later"), api.TargetID("new"))
	})
}

// TestAddressOfADisplacedTargetIsChecked guards against a target out of use until its rival's service gets requests.
//
// fault: other-writer x forward
func TestAddressOfADisplacedTargetIsChecked(t *testing.T) {
	h := newSharedHarness(t)
	effects := h.apply(TargetChanged{Announcement: registrationOf("agent", "second", 9, sharedAddress)})
	probes := find[Probe](effects)
	assert.Equal(t, len(probes), 1)
	assert.Equal(t, probes[0].Target, api.TargetID("agent"))
	h.apply(ProbeEnded{Target: "agent", Incarnation: 9, Answered: true, AnsweredBy: "own"})
	assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
	assert.Equal(t, len(find[Probe](h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("second", "second", true))}))), 0)

	h = newSharedHarness(t)
	effects = h.apply(TargetChanged{Announcement: registrationOf("agent", "unnamed", 9, sharedAddress)})
	assert.Equal(t, len(find[Probe](effects)), 0, "its service has no health path yet")
	effects = h.apply(TargetChanged{Announcement: registrationOf("own", "second", 9, sharedAddress)})
	assert.Equal(t, len(find[Probe](effects)), 0, "both have the same ID")
}

// TestReinstatedServiceOfATargetCounts has control processes find that a target goes on in its own service.
//
// fault: other-writer x forward
func TestReinstatedServiceOfATargetCounts(t *testing.T) {
	for _, named := range []bool{true, false} {
		h := newSharedHarness(t)
		service := map[bool]string{true: "second", false: "later"}[named]
		h.apply(TargetChanged{Announcement: registrationOf("own", service, 9, sharedAddress)})
		reinstated := registrationOf("own", "first", 5, sharedAddress)
		reinstated.Sequence, reinstated.Reinstated = 3, 1
		h.apply(TargetChanged{Announcement: reinstated})
		h.apply(TableInstalled{Table: newTable(2, plainRoute("first", "first", true), plainRoute("second", "second", true), plainRoute("later", "later", true))})
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"))
		assert.Equal(t, h.sendsTo(service), api.TargetID(""))
		h.apply(TargetChanged{Announcement: registrationOf("own", "first", 10, sharedAddress)})
		assert.Equal(t, h.sendsTo("first"), api.TargetID("own"), "its next start")
	}
}

// TestRemovedTargetIsNotCountedAsUnreachable ends attempts that were in flight when their
// target was displaced. Guards against a node that takes itself for cut off from most targets,
// because it counts some that it doesn't use any more.
func TestRemovedTargetIsNotCountedAsUnreachable(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeNotSent, OutcomeWrongTarget, OutcomeSuccess} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newSharedHarness(t)
			requests := []RequestID{h.arrive("first"), h.arrive("first"), h.arrive("first")}
			h.endAttempt(h.onlySend(requests[0]).Attempt, OutcomeWrongTarget, http.StatusMisdirectedRequest)
			assert.Equal(t, h.state.unreachable, 1)
			h.apply(TargetChanged{Announcement: registrationOf("new", "second", 8, sharedAddress)})
			assert.Equal(t, h.state.unreachable, 0)
			for _, request := range requests[1:] {
				for _, send := range h.sends(request) {
					h.endAttempt(send.Attempt, outcome, http.StatusOK)
				}
			}
			assert.Equal(t, h.state.unreachable, 0)
		})
	}
}

// TestDemandsOutlastATimeOutOfUse guards against a node that forgets what a target has said in
// its replies, while another registration outranked its own or a departure was believed.
//
// fault: other-writer x forward
func TestDemandsOutlastATimeOutOfUse(t *testing.T) {
	const pause = 5 * time.Second
	interrupt := map[string]func(h *harness){
		"displaced and restored": func(h *harness) {
			h.apply(TargetChanged{Announcement: registrationOf("agent", "second", 9, sharedAddress)})
			h.apply(ProbeEnded{Target: "agent", Incarnation: 9, Answered: true, AnsweredBy: "own"})
		},
		"departed and reinstated": func(h *harness) {
			gone := registrationOf("own", "first", 5, sharedAddress)
			gone.State = api.TargetGone
			h.apply(TargetChanged{Announcement: gone})
			back := registrationOf("own", "first", 5, sharedAddress)
			back.Reinstated, back.Sequence = 1, 9
			h.apply(TargetChanged{Announcement: back})
		},
		"at another address": func(h *harness) {
			moved := registrationOf("own", "first", 5, "10.0.0.2:80")
			moved.Sequence = 2
			h.apply(TargetChanged{Announcement: moved})
		},
	}
	for name, interrupt := range interrupt {
		for _, tc := range []struct {
			name    string
			outcome Outcome
			status  int
			demand  Demand
			lasts   time.Duration
		}{
			{"leaving", OutcomeSuccess, http.StatusOK, Demand{Leaving: true}, time.Hour},
			{"wants nothing", OutcomeNotRun, http.StatusServiceUnavailable, Demand{RetryAfter: pause}, pause},
		} {
			t.Run(name+", "+tc.name, func(t *testing.T) {
				h := newSharedHarness(t)
				h.endWith(h.onlySend(h.arrive("first")).Attempt, tc.outcome, tc.status, tc.demand)
				assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
				interrupt(h)
				h.advance(tc.lasts / 2)
				assert.Equal(t, h.sendsTo("first"), api.TargetID(""))
			})
		}
	}
}
