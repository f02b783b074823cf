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

// renewAfter returns when a target is to renew. A node that hears from nobody
// can't pass the renewal on: it has the target come back soon, through the
// balancer, so that another node gets the renewal before the lease ends.
func (s *State) renewAfter(a api.Announcement) time.Duration {
	after := time.Duration(a.LeaseMS) * time.Millisecond / renewalsPerLease
	silent := s.now.Sub(s.heardAt) > s.timing.SilentAfter && len(s.suspectsAndLive()) > 0
	if silent {
		after = min(after, s.timing.SilentRenew)
	}
	return max(after, time.Millisecond)
}

// renewed notes evidence that a target holds to its announced state. A lease
// that was found ended is taken up again: the renewals were merely lost.
func (s *State) renewed(t *targetEntry, at time.Time) {
	if at.After(t.renewedAt) {
		t.renewedAt = at
	}
	t.checkedAt = time.Time{}
	if t.Expired && s.now.Sub(t.renewedAt) < t.lease() {
		s.revive(t, t.Epoch)
	}
}

// revive supersedes the finding of the given epoch that the lease ended.
func (s *State) revive(t *targetEntry, epoch uint32) {
	r := t.TargetRecord
	r.Expired = false
	r.Epoch = epoch + 1
	s.putTarget(r)
	s.rumour(true, string(r.Announcement.Target), "")
}

func (s *State) forwardRenewal(t *targetEntry) {
	for _, e := range s.ownersOf(t) {
		if e.ID != s.self {
			s.send(e, s.renewal(t))
		}
	}
}

func (s *State) renewal(t *targetEntry) Message {
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
	news := api.Announcement{Incarnation: m.Incarnation, Sequence: m.Version}
	switch {
	case t == nil || news.Supersedes(t.Announcement):
		s.wantRecord(m, true, m.Subject)
	case m.isRenewalOf(t.Announcement):
		s.renewed(t, s.now.Add(-time.Duration(m.AgeMS)*time.Millisecond))
	default:
		s.sendRecords(m, []uint64{nameHash(true, m.Subject)})
	}
}

func (s *State) onLeaseCheck(m Message) {
	t := s.targets[api.TargetID(m.Subject)]
	if t == nil || !m.isRenewalOf(t.Announcement) {
		return
	}
	if s.now.Sub(t.renewedAt) < t.lease() {
		s.answer(m, s.renewal(t))
	}
}

// reported takes a target's state from the header of its reply. Only a step
// towards the end of the process's life counts: replies arrive out of order.
func (s *State) reported(e Reported) {
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
	s.rumour(true, string(e.Target), "")
}

// scanLeases ends the leases that this node keeps and that were not renewed.
// A node that is cut off can't tell a dead target from its own trouble and ends
// none; one that was frozen has begun its leases again.
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
	if t.State() == api.TargetGone || s.now.Sub(t.leaseFrom()) < t.lease() {
		return
	}
	if t.checkedAt.IsZero() {
		t.checkedAt = s.now
		s.askForRenewal(t)
		return
	}
	if s.now.Sub(t.checkedAt) < s.timing.LeaseCheck {
		return
	}
	r := t.TargetRecord
	r.Expired = true
	r.Epoch++
	s.putTarget(r)
	s.rumour(true, string(r.Announcement.Target), "")
	s.note(NoteLeaseEnded, string(r.Announcement.Target))
}

// askForRenewal asks the other owner and some peers whether they know of a
// renewal. Without it, one owner that a forwarder can't reach would declare a
// live target gone.
func (s *State) askForRenewal(t *targetEntry) {
	asked := s.randomPeers(2*s.timing.Fanout, "")
	for _, e := range s.ownersOf(t) {
		if e.ID != s.self && !containsMember(asked, e.ID) {
			asked = append(asked, e)
		}
	}
	a := t.Announcement
	for _, e := range asked {
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

// leaseFrom returns when the running lease began: at the last renewal, or when
// this node became an owner and had none.
func (t *targetEntry) leaseFrom() time.Time {
	if t.graceFrom.After(t.renewedAt) {
		return t.graceFrom
	}
	return t.renewedAt
}

// refreshOwned finds the targets whose lease this node keeps, when the members
// or the targets have changed since the last time.
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
			t.graceFrom = s.now
			t.checkedAt = time.Time{}
		}
		s.owned = append(s.owned, t)
	}
	slices.SortFunc(s.owned, func(a, b *targetEntry) int {
		return strings.Compare(string(a.Announcement.Target), string(b.Announcement.Target))
	})
}

func (s *State) owns(t *targetEntry) bool {
	home := t.Announcement.DataCentre
	if home != s.me().DataCentre && len(s.listed[home]) > 0 {
		return false
	}
	return containsMember(s.ownersOf(t), s.self)
}

// ownersOf returns the nodes that keep a target's lease: the listed members of
// its data centre with the highest rendezvous hashes. A data centre without
// members is kept by the members of this one.
func (s *State) ownersOf(t *targetEntry) []*memberEntry {
	if t.ownersVersion == s.membersVersion && t.owners != nil {
		return t.owners
	}
	list := s.listed[t.Announcement.DataCentre]
	if len(list) == 0 {
		list = s.listed[s.me().DataCentre]
	}
	name := xxhash.Sum64String(string(t.Announcement.Target))
	t.owners = highest(list, s.timing.Owners, func(e *memberEntry) uint64 {
		return mix(name ^ e.score)
	})
	t.ownersVersion = s.membersVersion
	return t.owners
}

// highest returns the n members with the highest scores, highest first.
func highest(list []*memberEntry, n int, score func(*memberEntry) uint64) []*memberEntry {
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
