package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonbay/internal/api"
)

// renewalsPerLease is the number of renewals that a target makes in one lease,
// so that two may be lost.
const renewalsPerLease = 3

// renewAfter returns the time until a target's next renewal. A node that hears
// from no peer may be unable to forward the renewal: it asks the target to
// renew soon, through the balancer, so that another node receives a renewal
// before the lease expires.
func (s *State) renewAfter(a api.Announcement) time.Duration {
	after := time.Duration(a.LeaseMS) * time.Millisecond / renewalsPerLease
	silent := s.now.Sub(s.heardAt) > s.timing.SilentAfter && len(s.otherListedIDs()) > 0
	if silent {
		after = min(after, s.timing.SilentRenewInterval)
	}
	return max(after, time.Millisecond)
}

// recordRenewal records evidence that a target's process is still in its
// announced state. It withdraws an expiry if the renewal is recent enough: then
// only the renewals were lost.
func (s *State) recordRenewal(t *targetEntry, at time.Time) {
	if at.After(t.renewedAt) {
		t.renewedAt = at
	}
	t.leaseCheckedAt = time.Time{}
	if t.Expired && s.now.Sub(t.renewedAt) < t.lease() {
		s.withdrawExpiry(t, t.Epoch)
	}
}

// withdrawExpiry supersedes the record that declared a lease expired at the
// given epoch.
func (s *State) withdrawExpiry(t *targetEntry, epoch uint32) {
	r := t.TargetRecord
	r.Expired = false
	r.Epoch = epoch + 1
	s.putTarget(r)
	s.addRumour(true, string(r.Announcement.Target), "")
}

func (s *State) forwardRenewal(t *targetEntry) {
	for _, e := range s.ownersOf(t) {
		if e.ID != s.self {
			s.send(e, s.renewalMessage(t))
		}
	}
}

func (s *State) renewalMessage(t *targetEntry) Message {
	a := t.Announcement
	return Message{
		Kind:        KindRenew,
		Subject:     string(a.Target),
		Incarnation: a.Incarnation,
		Version:     a.Sequence,
		AgeMS:       s.now.Sub(t.renewedAt).Milliseconds(),
	}
}

func (s *State) onRenew(m Message) {
	t := s.targets[api.TargetID(m.Subject)]
	renewedState := api.Announcement{Incarnation: m.Incarnation, Sequence: m.Version}
	switch {
	case t == nil || renewedState.Supersedes(t.Announcement):
		s.requestRecord(m, true, m.Subject)
	case m.refersTo(t.Announcement):
		s.recordRenewal(t, s.now.Add(-time.Duration(m.AgeMS)*time.Millisecond))
	default:
		s.sendRecords(m, []uint64{nameHash(true, m.Subject)})
	}
}

func (s *State) onLeaseCheck(m Message) {
	t := s.targets[api.TargetID(m.Subject)]
	if t == nil || !m.refersTo(t.Announcement) {
		return
	}
	if s.now.Sub(t.renewedAt) < t.lease() {
		s.replyTo(m, s.renewalMessage(t))
	}
}

// handleReport applies a target's state from the header of its reply. Replies
// arrive out of order, so only a later state in the lifecycle of the process
// counts, and only one in which it accepts no work.
func (s *State) handleReport(e Reported) {
	t := s.targets[e.Target]
	if t == nil || e.Incarnation < t.Announcement.Incarnation || e.State.AcceptsWork() {
		return
	}
	if stateRank(e.State) <= stateRank(t.State()) {
		return
	}
	r := t.TargetRecord
	r.Reported = e.State
	r.Epoch++
	s.putTarget(r)
	s.addRumour(true, string(e.Target), "")
}

// scanLeases expires the leases that this node owns and that were not renewed.
// An isolated node can't tell a dead target from its own network fault and
// expires none. After a pause, detectPause has already restarted the leases.
func (s *State) scanLeases() {
	s.refreshOwned()
	if s.isolated {
		return
	}
	for _, t := range s.owned {
		s.scanLease(t)
	}
}

func (s *State) scanLease(t *targetEntry) {
	if t.State() == api.TargetGone || s.now.Sub(t.leaseStart()) < t.lease() {
		return
	}
	if t.leaseCheckedAt.IsZero() {
		t.leaseCheckedAt = s.now
		s.sendLeaseChecks(t)
		return
	}
	if s.now.Sub(t.leaseCheckedAt) < s.timing.LeaseCheck {
		return
	}
	r := t.TargetRecord
	r.Expired = true
	r.Epoch++
	s.putTarget(r)
	s.addRumour(true, string(r.Announcement.Target), "")
	s.logEvent(LogLeaseExpired, string(r.Announcement.Target))
}

// sendLeaseChecks asks the other owners and some peers whether they know of a
// renewal. Without this check, one owner that forwarded renewals don't reach
// would declare a live target gone.
func (s *State) sendLeaseChecks(t *targetEntry) {
	recipients := s.randomPeers(2*s.timing.Fanout, "")
	for _, e := range s.ownersOf(t) {
		if e.ID != s.self && !containsMember(recipients, e.ID) {
			recipients = append(recipients, e)
		}
	}
	a := t.Announcement
	for _, e := range recipients {
		s.send(e, Message{
			Kind:        KindLeaseCheck,
			Subject:     string(a.Target),
			Incarnation: a.Incarnation,
			Version:     a.Sequence,
		})
	}
}

func containsMember(list []*memberEntry, id string) bool {
	for _, e := range list {
		if e.ID == id {
			return true
		}
	}
	return false
}

// leaseStart returns when the current lease began: at the last renewal or at
// the start of the wait for one, whichever is later.
func (t *targetEntry) leaseStart() time.Time {
	if t.graceStart.After(t.renewedAt) {
		return t.graceStart
	}
	return t.renewedAt
}

// refreshOwned updates the list of targets whose lease this node owns, if the
// members or the targets have changed since the last call.
func (s *State) refreshOwned() {
	if s.ownedVersion == s.membersVersion && !s.ownedDirty {
		return
	}
	s.ownedVersion = s.membersVersion
	s.ownedDirty = false
	s.owned = s.owned[:0]
	for _, t := range s.targets {
		if !s.owns(t) {
			t.owned = false
			continue
		}
		if !t.owned {
			t.owned = true
			t.graceStart = s.now
			t.leaseCheckedAt = time.Time{}
		}
		s.owned = append(s.owned, t)
	}
	slices.SortFunc(s.owned, func(a, b *targetEntry) int {
		return strings.Compare(string(a.Announcement.Target), string(b.Announcement.Target))
	})
}

func (s *State) owns(t *targetEntry) bool {
	dataCentre := t.Announcement.DataCentre
	if dataCentre != s.localNode().DataCentre && len(s.listed[dataCentre]) > 0 {
		return false
	}
	return containsMember(s.ownersOf(t), s.self)
}

// ownersOf returns the nodes that own a target's lease: the listed members of
// its data centre with the highest rendezvous hashes. If that data centre has
// no listed members, members of this node's data centre own the lease.
func (s *State) ownersOf(t *targetEntry) []*memberEntry {
	if t.ownersVersion == s.membersVersion && t.owners != nil {
		return t.owners
	}
	list := s.listed[t.Announcement.DataCentre]
	if len(list) == 0 {
		list = s.listed[s.localNode().DataCentre]
	}
	name := xxhash.Sum64String(string(t.Announcement.Target))
	t.owners = highestScored(list, s.timing.Owners, func(e *memberEntry) uint64 {
		return mix(name ^ e.score)
	})
	t.ownersVersion = s.membersVersion
	return t.owners
}

// highestScored returns the n members with the highest scores, in descending
// order.
func highestScored(list []*memberEntry, n int, score func(*memberEntry) uint64) []*memberEntry {
	top := make([]*memberEntry, 0, n)
	scores := make([]uint64, 0, n)
	for _, e := range list {
		v := score(e)
		i := len(top)
		for i > 0 && scores[i-1] < v {
			i--
		}
		if i >= n {
			continue
		}
		if len(top) < n {
			top = append(top, nil)
			scores = append(scores, 0)
		}
		copy(top[i+1:], top[i:])
		copy(scores[i+1:], scores[i:])
		top[i], scores[i] = e, v
	}
	return top
}

// mix spreads the bits of a 64-bit value (the finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
