package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// pendingAnnouncement is an announcement whose target gets its reply once
// another node has acknowledged the record, or at the deadline.
type pendingAnnouncement struct {
	token    uint64
	reply    api.AnnounceReply
	rumour   *rumour
	deadline time.Time
}

// handleAnnouncement handles an announcement that a target made to this node. A
// new one is pushed to the owners of the lease first and then spread as a
// rumour; a renewal is forwarded to the owners only. The reply to a new one
// waits until another node has the record: otherwise a crash of this node right
// after the reply would lose a drain.
func (s *State) handleAnnouncement(e Announced) {
	a := e.Announcement
	cur := s.targets[a.Target]
	var update *rumour
	switch {
	case cur == nil || a.Supersedes(cur.Announcement):
		cur = s.putTarget(TargetRecord{Announcement: a})
		cur.renewedAt = s.now
		update = s.addRumour(true, string(a.Target), "")
		s.pushToOwners(cur)
	case !cur.Announcement.Supersedes(a):
		s.recordRenewal(cur, s.now)
		s.forwardRenewal(cur)
	}
	reply := api.AnnounceReply{RenewMS: s.renewAfter(a).Milliseconds()}
	if cur.Announcement.Incarnation == a.Incarnation {
		reply.Sequence = cur.Announcement.Sequence
	}
	if update == nil || len(s.gossipPeers(true)) == 0 {
		s.emit(AnnounceReplied{Token: e.Token, Reply: reply})
		return
	}
	s.pendingAnnouncements = append(s.pendingAnnouncements, pendingAnnouncement{
		token:    e.Token,
		reply:    reply,
		rumour:   update,
		deadline: s.now.Add(s.timing.AnnounceWait),
	})
}

// replyToAnnouncements replies to the targets whose announcements another node
// has acknowledged or whose wait is over.
func (s *State) replyToAnnouncements() {
	kept := s.pendingAnnouncements[:0]
	for _, p := range s.pendingAnnouncements {
		if len(p.rumour.known) == 0 && s.now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		s.emit(AnnounceReplied{Token: p.token, Reply: p.reply})
	}
	clear(s.pendingAnnouncements[len(kept):])
	s.pendingAnnouncements = kept
}

func (s *State) pushToOwners(t *targetEntry) {
	for _, e := range s.ownersOf(t) {
		if e.ID != s.self {
			s.pushTo(e, s.rumoursOf(t))
		}
	}
}

func (s *State) rumoursOf(t *targetEntry) []*rumour {
	key := recordKey{target: true, name: string(t.Announcement.Target)}
	if r := s.rumours[key]; r != nil {
		return []*rumour{r}
	}
	return nil
}
