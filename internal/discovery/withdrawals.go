package discovery

import (
	"cmp"
	"slices"

	"wigeonbay/internal/api"
)

// maxWithdrawals limits the withdrawals that are kept for control processes that have not
// been told yet.
const maxWithdrawals = 256

// Withdrawals is a numbered list of announcements by which a process has learned that
// targets accept no more work, to be reported to control processes. The oldest ones are
// dropped. The zero value is empty.
type Withdrawals struct {
	list []api.Announcement
	last uint64
}

// Add appends an announcement.
func (w *Withdrawals) Add(a api.Announcement) {
	w.list = append(w.list, a)
	w.last++
	if len(w.list) > maxWithdrawals {
		w.list = slices.Delete(w.list, 0, len(w.list)-maxWithdrawals)
	}
}

// Since returns the announcements added after the one with the given number, and the
// number of the last one.
func (w *Withdrawals) Since(number uint64) ([]api.Announcement, uint64) {
	count := min(w.last-min(number, w.last), uint64(len(w.list)))
	return slices.Clone(w.list[uint64(len(w.list))-count:]), w.last
}

// Withdrawn returns the records of the targets that accept no more work, those of the
// last changes if there are more than limit. They keep a control process that has lost
// its records from taking a delayed announcement for the newest one.
func (t *Targets) Withdrawn(limit int) []api.Announcement {
	var withdrawn []*record
	for _, r := range t.records {
		if r.announcement.State.Withdrawn() {
			withdrawn = append(withdrawn, r)
		}
	}
	slices.SortFunc(withdrawn, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
	withdrawn = withdrawn[max(0, len(withdrawn)-limit):]
	out := make([]api.Announcement, len(withdrawn))
	for i, r := range withdrawn {
		out[i] = r.announcement
	}
	return out
}
