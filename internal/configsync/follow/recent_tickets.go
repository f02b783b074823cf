package follow

import "wigeonbay/internal/api"

// maxRecentTickets is the number of tickets that a node keeps for peers that
// are slightly behind.
const maxRecentTickets = 256

// recentTickets holds the latest tickets. The first one led from version base to
// base+1.
type recentTickets struct {
	base    uint64
	tickets []api.Ticket
}

// add appends the tickets of a delta that has been applied. If they do not
// continue the list, it starts an empty one at version d.To.
func (t *recentTickets) add(d api.ConfigDelta) {
	end := t.base + uint64(len(t.tickets))
	if d.Whole != nil || end != d.From || d.To-d.From != uint64(len(d.Tickets)) {
		*t = recentTickets{base: d.To}
		return
	}
	t.tickets = append(t.tickets, d.Tickets...)
	if drop := len(t.tickets) - maxRecentTickets; drop > 0 {
		t.tickets = append([]api.Ticket(nil), t.tickets[drop:]...)
		t.base += uint64(drop)
	}
}

// after returns the tickets after version since, if all of them are kept.
func (t *recentTickets) after(since uint64) ([]api.Ticket, bool) {
	if since < t.base || since > t.base+uint64(len(t.tickets)) {
		return nil, false
	}
	return t.tickets[since-t.base:], true
}
