package tickets

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// refusalKey identifies an invalid ticket by its number and content.
type refusalKey struct {
	number  uint64
	content ContentHash
}

// refusals keeps the replies to the latest invalid tickets. Without it, a late
// copy of a ticket that was reported to its operator as invalid could be
// accepted once the service that it refers to exists. The number itself stays
// available for corrected content.
type refusals struct {
	replies map[refusalKey]api.TicketReply
	order   []refusalKey
}

func newRefusals() refusals {
	return refusals{replies: map[refusalKey]api.TicketReply{}}
}

func (r *refusals) find(number uint64, content ContentHash) (api.TicketReply, bool) {
	reply, ok := r.replies[refusalKey{number, content}]
	return reply, ok
}

func (r *refusals) record(number uint64, content ContentHash, reply api.TicketReply, l limits) {
	key := refusalKey{number, content}
	r.replies[key] = reply
	r.order = append(r.order, key)
	if len(r.order) > l.refusals {
		delete(r.replies, r.order[0])
		r.order = r.order[1:]
	}
}

// history keeps the latest accepted tickets with their content, one per version
// without gaps.
type history struct {
	entries []controlrpc.HistoryEntry
	sizes   []int // encoded size of each ticket in bytes
	bytes   int
}

func (h *history) add(e controlrpc.HistoryEntry) {
	size := EncodedSize(e.Ticket)
	h.entries = append(h.entries, e)
	h.sizes = append(h.sizes, size)
	h.bytes += size
}

func (h *history) trim(l limits) {
	for len(h.entries) > l.history || h.bytes > l.historyBytes {
		h.bytes -= h.sizes[0]
		h.entries = h.entries[1:]
		h.sizes = h.sizes[1:]
	}
}

// EncodedSize returns the size of a ticket in bytes in the encoding of the
// replicated log, or 0 if it cannot be encoded.
func EncodedSize(ticket api.Ticket) int {
	encoded, err := msgpack.Marshal(ticket)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// History returns the accepted tickets in the history that touched the object,
// oldest first; nil means every object.
func (s *State) History(object *api.ObjectRef) []controlrpc.HistoryEntry {
	if object == nil {
		return slices.Clone(s.history.entries)
	}
	var found []controlrpc.HistoryEntry
	for _, e := range s.history.entries {
		if slices.Contains(clusterconfig.TouchedObjects(e.Ticket), *object) {
			found = append(found, e)
		}
	}
	return found
}

// Delta returns the changes from version since to the current version: the
// tickets accepted after since if the history still holds all of them, else the
// whole configuration. If since is not older than the current version, the
// delta is empty.
func (s *State) Delta(since uint64) api.ConfigDelta {
	version := s.config.Version
	if since >= version {
		return api.ConfigDelta{From: version, To: version}
	}
	missing := version - since
	kept := s.history.entries
	if missing > uint64(len(kept)) {
		whole := s.config
		return api.ConfigDelta{To: version, Whole: &whole}
	}
	delta := api.ConfigDelta{From: since, To: version}
	for _, e := range kept[uint64(len(kept))-missing:] {
		delta.Tickets = append(delta.Tickets, e.Ticket)
	}
	return delta
}
