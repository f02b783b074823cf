package discovery

import (
	"cmp"
	"slices"

	"wigeonbay/internal/api"
)

// Withdrawn returns the records of the targets that accept no more work, those of the
// last changes if there are more than limit. They keep a control process that has lost
// its records from taking a delayed announcement for the newest one.
func (t *Targets) Withdrawn(limit int) []api.Announcement {
	var withdrawn []*record
	for r := range t.all {
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
