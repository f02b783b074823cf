package ledger

import (
	"slices"
	"strings"

	"wigeonbay/internal/controlrpc"
)

// KeyImage is the state of one key in an Image.
type KeyImage struct {
	Key           string
	KeyTimeUnixMS int64
	State         controlrpc.ClaimState
	Claim         uint64
	Claimant      string
	Fingerprint   uint64
	Outcome       controlrpc.Outcome
	Spent         []uint64
}

// Image is a serializable copy of a ledger's state for snapshots. Keys are
// sorted, so that equal states have equal images.
type Image struct {
	FloorUnixMS int64
	Keys        []KeyImage
}

// Image returns a copy of the ledger's state.
func (l *Ledger) Image() Image {
	image := Image{FloorUnixMS: l.floor, Keys: make([]KeyImage, 0, len(l.entries))}
	for _, e := range l.entries {
		image.Keys = append(image.Keys, KeyImage{
			Key:           e.key,
			KeyTimeUnixMS: e.keyTime,
			State:         e.state,
			Claim:         e.claim,
			Claimant:      e.claimant,
			Fingerprint:   e.fingerprint,
			Outcome:       e.outcome,
			Spent:         slices.Clone(e.abandoned),
		})
	}
	slices.SortFunc(image.Keys, func(a, b KeyImage) int { return strings.Compare(a.Key, b.Key) })
	return image
}

// Load replaces the ledger's state with that of an image.
func (l *Ledger) Load(image Image) {
	l.floor = image.FloorUnixMS
	l.entries = make(map[string]*entry, len(image.Keys))
	l.byKeyTime = nil
	for _, k := range image.Keys {
		e := l.insert(k.Key, k.KeyTimeUnixMS)
		e.state = k.State
		e.claim = k.Claim
		e.claimant = k.Claimant
		e.fingerprint = k.Fingerprint
		e.outcome = k.Outcome
		e.abandoned = slices.Clone(k.Spent)
	}
}
