package discovery

import "time"

// WatcherKind tells what follows a control process.
type WatcherKind string

// Kinds of watchers.
const (
	WatcherEntry   WatcherKind = "entry"
	WatcherControl WatcherKind = "control"
)

// Watchers knows who follows a control process and how far each has come. A
// target that leaves is acknowledged once every live watcher has the news.
type Watchers struct {
	// expiry is how long a watcher counts as live after its last poll.
	expiry time.Duration
	byNode map[string]*watcher
}

type watcher struct {
	kind       WatcherKind
	dataCentre string
	revision   uint64
	heard      time.Time
}

// NewWatchers returns an empty set. A watcher that has not polled for expiry no
// longer counts.
func NewWatchers(expiry time.Duration) *Watchers {
	return &Watchers{expiry: expiry, byNode: map[string]*watcher{}}
}

// Polled notes that a watcher has taken everything up to a revision. It returns
// whether the watcher is new.
func (w *Watchers) Polled(now time.Time, node string, kind WatcherKind, dataCentre string, revision uint64) bool {
	known := w.byNode[node]
	if known == nil {
		known = &watcher{}
		w.byNode[node] = known
	}
	fresh := known.heard.IsZero()
	*known = watcher{kind: kind, dataCentre: dataCentre, revision: revision, heard: now}
	return fresh
}

// Expire forgets the watchers that count no longer and returns their names.
func (w *Watchers) Expire(now time.Time) []string {
	var gone []string
	for node, known := range w.byNode {
		if now.Sub(known.heard) > w.expiry {
			delete(w.byNode, node)
			gone = append(gone, node)
		}
	}
	return gone
}

// Behind returns the live watchers that lack a revision.
func (w *Watchers) Behind(now time.Time, revision uint64) []string {
	var behind []string
	for node, known := range w.byNode {
		if known.revision < revision && now.Sub(known.heard) <= w.expiry {
			behind = append(behind, node)
		}
	}
	return behind
}

// EntryNodes counts the live entry nodes of each data centre.
func (w *Watchers) EntryNodes(now time.Time) map[string]int {
	count := map[string]int{}
	for _, known := range w.byNode {
		if known.kind == WatcherEntry && now.Sub(known.heard) <= w.expiry {
			count[known.dataCentre]++
		}
	}
	return count
}
