package replica

import "slices"

// entryLog holds the log entries after base, including those not yet synced.
type entryLog struct {
	snapshotMeta SnapshotMeta
	entries      []Entry
	// base and baseTerm are the index and term of the entry before entries.
	// base is at most snapshotMeta.Index: some entries before the snapshot are
	// kept for slow members.
	base     uint64
	baseTerm uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesFrom returns the entries from index on, within the limits but at least
// one.
func (l *entryLog) entriesFrom(index uint64, maxEntries, maxBytes int) []Entry {
	rest := l.entries[index-l.base-1:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data)
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return rest[:i:i]
		}
	}
	return slices.Clip(rest)
}

// entriesBetween returns the entries after low, up to and including high.
func (l *entryLog) entriesBetween(low, high uint64) []Entry {
	return slices.Clip(l.entries[low-l.base : high-l.base])
}

// append adds entries and drops existing ones from their first index on. It
// does not modify slices returned earlier, which messages and disk writes may
// still use.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.base - 1
	if keep < uint64(len(l.entries)) {
		l.entries = slices.Clip(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = term
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	l.snapshotMeta = meta
	l.base = meta.Index
	l.baseTerm = meta.Term
	l.entries = nil
}

// membership returns the newest membership in the log or its snapshot, and the
// index of the entry or snapshot that holds it.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.Kind == EntryMembership && entry.Index > l.snapshotMeta.Index {
			return *entry.Membership, entry.Index
		}
	}
	return l.snapshotMeta.Membership, l.snapshotMeta.Index
}
