package discovery

import (
	"hash/crc32"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wigeonbay/internal/api"
)

// Offer identifies a version of a target's record without its contents. A watcher
// that already has the record from another control process needs no more than this.
type Offer struct {
	Target api.TargetID
	// Service is empty in offers of processes that hold one record of each target.
	Service     string
	Incarnation uint64
	Sequence    uint64
	Gone        bool
	// Confirmed and Reinstated are those of the announcement.
	Confirmed  bool
	Reinstated uint32
	// Facts is the factsChecksum of the record.
	Facts uint32
}

// Offers returns the changes after a revision: full records for the targets in
// lacks, and offers for the other targets that changed after the revision known.
func (t *Targets) Offers(revision, known uint64, lacks []api.TargetID) (records []api.Announcement, offers []Offer) {
	for _, a := range t.Since(revision, math.MaxInt) {
		if slices.Contains(lacks, a.Target) {
			records = append(records, a)
			continue
		}
		if t.record(a.Target, a.Service).revision <= known {
			continue
		}
		offers = append(offers, Offer{
			Target: a.Target, Service: a.Service, Incarnation: a.Incarnation, Sequence: a.Sequence,
			Gone: a.State == api.TargetGone, Confirmed: a.Confirmed, Reinstated: a.Reinstated,
			Facts: factsChecksum(a),
		})
	}
	return records, offers
}

// MergeOffer reports whether an offered record holds nothing new. If so, and if the
// offer is a renewal of the known record, it adopts the renewal's sequence number as
// Merge does.
func (t *Targets) MergeOffer(o Offer) bool {
	offered := api.Announcement{
		Target: o.Target, Incarnation: o.Incarnation, Sequence: o.Sequence,
		Confirmed: o.Confirmed, Reinstated: o.Reinstated,
	}
	if o.Gone {
		offered.State = api.TargetGone
	}
	known := t.record(o.Target, o.Service)
	if o.Service == "" && known == nil {
		known = t.latest(o.Target)
	}
	if known == nil {
		return false
	}
	if !isNewer(offered, known.announcement) {
		return true
	}
	if known.announcement.Incarnation != o.Incarnation || known.announcement.Reinstated != o.Reinstated ||
		factsChecksum(known.announcement) != o.Facts {
		return false
	}
	known.announcement.Sequence = max(known.announcement.Sequence, o.Sequence)
	known.announcement.Confirmed = known.announcement.Confirmed || o.Confirmed
	return true
}

// recordChecksum returns a checksum of a record without its sequence number. It is 0
// for a gone target, so that a gone target counts the same as an unknown one.
func recordChecksum(a api.Announcement) uint64 {
	if a.State == api.TargetGone {
		return 0
	}
	text := append([]byte(a.Target), 0)
	text = strconv.AppendUint(text, a.Incarnation, 10)
	if a.Reinstated > 0 {
		text = strconv.AppendUint(append(text, 0), uint64(a.Reinstated), 10)
	}
	return xxhash.Sum64(strconv.AppendUint(append(text, 0), uint64(factsChecksum(a)), 10))
}

// factsChecksum returns a checksum of the fields that the choice of targets depends
// on: those that sameFacts compares, except the incarnation.
func factsChecksum(a api.Announcement) uint32 {
	text := make([]byte, 0, 96)
	for _, field := range []string{string(a.State), a.Service, a.Address, a.DataCentre} {
		text = append(append(text, field...), 0)
	}
	return crc32.ChecksumIEEE(strconv.AppendInt(text, int64(a.Slots), 10))
}
