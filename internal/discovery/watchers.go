package discovery

import "time"

// WatcherKind is the kind of process that watches a control process.
type WatcherKind string

// Kinds of watchers.
const (
	WatcherEntry   WatcherKind = "entry"
	WatcherControl WatcherKind = "control"
)

// Watchers tracks the processes that poll a control process and the revision that
// each has confirmed. A target's announcement that it leaves is acknowledged once
// every live watcher has confirmed it.
type Watchers struct {
	// expiry is how long a watcher counts as live after its last poll.
	expiry time.Duration
	byNode map[string]*watcher
}

type watcher struct {
	kind       WatcherKind
	dataCentre string
	revision   uint64
	lastPoll   time.Time
	// peerAddress is the address at which an entry node takes requests from others, ""
	// if it takes none. peerAddressKnown is set once the node has told it.
	peerAddress      string
	peerAddressKnown bool
	features         Features
}

// NewWatchers returns an empty set. A watcher that has not polled for longer than
// expiry does not count as live.
func NewWatchers(expiry time.Duration) *Watchers {
	return &Watchers{expiry: expiry, byNode: map[string]*watcher{}}
}

// RecordPoll records a poll by a watcher, which confirms all changes up to a
// revision. It reports whether the watcher is new.
func (w *Watchers) RecordPoll(now time.Time, node string, kind WatcherKind, dataCentre string, revision uint64) bool {
	known := w.byNode[node]
	if known == nil {
		known = &watcher{}
		w.byNode[node] = known
	}
	isNew := known.lastPoll.IsZero()
	known.kind, known.dataCentre, known.revision, known.lastPoll = kind, dataCentre, revision, now
	return isNew
}

// Expire removes the watchers that are no longer live and returns their names.
func (w *Watchers) Expire(now time.Time) []string {
	var expired []string
	for node, known := range w.byNode {
		if now.Sub(known.lastPoll) > w.expiry {
			delete(w.byNode, node)
			expired = append(expired, node)
		}
	}
	return expired
}

// Behind returns the live watchers that have not confirmed a revision.
func (w *Watchers) Behind(now time.Time, revision uint64) []string {
	var behind []string
	for node, known := range w.byNode {
		if known.revision < revision && now.Sub(known.lastPoll) <= w.expiry {
			behind = append(behind, node)
		}
	}
	return behind
}

// EntryRank returns the number of live entry nodes of a data centre whose name comes before
// that of a node.
func (w *Watchers) EntryRank(now time.Time, dataCentre, node string) int {
	rank := 0
	for other, known := range w.byNode {
		if known.kind == WatcherEntry && known.dataCentre == dataCentre && other < node && now.Sub(known.lastPoll) <= w.expiry {
			rank++
		}
	}
	return rank
}

// EntryNodes returns the number of live entry nodes in each data centre.
func (w *Watchers) EntryNodes(now time.Time) map[string]int {
	count := map[string]int{}
	for _, known := range w.byNode {
		if known.kind == WatcherEntry && now.Sub(known.lastPoll) <= w.expiry {
			count[known.dataCentre]++
		}
	}
	return count
}
