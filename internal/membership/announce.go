package membership

import (
	"time"

	"wigeonbay/internal/api"
)

// waitingAnnouncement is an announcement whose target gets its answer once
// another node holds it, or when the wait is over.
type waitingAnnouncement struct {
	token  uint64
	reply  api.AnnounceReply
	rumour *rumour
	until  time.Time
}

// announced takes an announcement that a target made to this node. News is
// pushed, the owners first; a renewal ends at the owners. News is answered only
// when another node has it: without that, the loss of this node right after its
// answer would lose a drain.
func (s *State) announced(e Announced) {
	a := e.Announcement
	cur := s.targets[a.Target]
	var news *rumour
	switch {
	case cur == nil || a.Supersedes(cur.Announcement):
		cur = s.putTarget(TargetRecord{Announcement: a})
		cur.renewedAt = s.now
		news = s.rumour(true, string(a.Target), "")
		s.pushToOwners(cur)
	case !cur.Announcement.Supersedes(a):
		s.renewed(cur, s.now)
		s.forwardRenewal(cur)
	}
	reply := api.AnnounceReply{RenewMS: s.renewAfter(a).Milliseconds()}
	if cur.Announcement.Incarnation == a.Incarnation {
		reply.Sequence = cur.Announcement.Sequence
	}
	if news == nil || len(s.gossipPeers(true)) == 0 {
		s.emit(AnnounceReplied{Token: e.Token, Reply: reply})
		return
	}
	s.waiting = append(s.waiting, waitingAnnouncement{
		token:  e.Token,
		reply:  reply,
		rumour: news,
		until:  s.now.Add(s.timing.AnnounceWait),
	})
}

// answerAnnouncements answers the targets whose news another node holds.
func (s *State) answerAnnouncements() {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if len(w.rumour.known) == 0 && s.now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		s.emit(AnnounceReplied{Token: w.token, Reply: w.reply})
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
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
