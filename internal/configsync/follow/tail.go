package follow

import "wigeonbay/internal/api"

// tailLimit is the number of last tickets that a node keeps for peers that are
// only a little behind.
const tailLimit = 256

// tail holds the last tickets; the first one raised the version from from.
type tail struct {
	from    uint64
	tickets []api.Ticket
}

// add takes in the tickets of a delta that has been applied.
func (t *tail) add(d api.ConfigDelta) {
	end := t.from + uint64(len(t.tickets))
	if d.Whole != nil || end != d.From || d.To-d.From != uint64(len(d.Tickets)) {
		*t = tail{from: d.To}
		return
	}
	t.tickets = append(t.tickets, d.Tickets...)
	if drop := len(t.tickets) - tailLimit; drop > 0 {
		t.tickets = append([]api.Ticket(nil), t.tickets[drop:]...)
		t.from += uint64(drop)
	}
}

// after returns the tickets since a version, if all of them are kept.
func (t *tail) after(since uint64) ([]api.Ticket, bool) {
	if since < t.from || since > t.from+uint64(len(t.tickets)) {
		return nil, false
	}
	return t.tickets[since-t.from:], true
}
