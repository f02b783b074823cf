package discovery

import (
	"slices"
	"strings"
	"time"
)

// Feature levels of builds. A process tells its own level with its polls and with the replies
// to polls. A build without levels tells none, which is read as 0.
const (
	// LevelEvacuation is the first level that keeps and follows orders to evacuate data
	// centres.
	LevelEvacuation = 1
	// FeatureLevel is the level of this build.
	FeatureLevel = LevelEvacuation
)

// Features are what a watcher's last poll says about its build and the orders that it
// follows.
type Features struct {
	Level int
	// Evacuations is the version of the orders to evacuate data centres.
	Evacuations uint64
}

// EntryFeatures are the Features of an entry node.
type EntryFeatures struct {
	Node       string
	DataCentre string
	Features
}

// SetFeatures records the features that a watcher's poll tells.
func (w *Watchers) SetFeatures(node string, features Features) {
	if known := w.byNode[node]; known != nil {
		known.features = features
	}
}

// EntryFeatures returns the features of the live entry nodes, sorted by name.
func (w *Watchers) EntryFeatures(now time.Time) []EntryFeatures {
	var out []EntryFeatures
	for node, known := range w.byNode {
		if known.kind == WatcherEntry && now.Sub(known.lastPoll) <= w.expiry {
			out = append(out, EntryFeatures{Node: node, DataCentre: known.dataCentre, Features: known.features})
		}
	}
	slices.SortFunc(out, func(a, b EntryFeatures) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Live returns the names of the live watchers.
func (w *Watchers) Live(now time.Time) []string {
	var out []string
	for node, known := range w.byNode {
		if now.Sub(known.lastPoll) <= w.expiry {
			out = append(out, node)
		}
	}
	return out
}

// Outdated returns the names of the live watchers below a feature level, sorted.
func (w *Watchers) Outdated(now time.Time, level int) []string {
	var out []string
	for node, known := range w.byNode {
		if known.features.Level < level && now.Sub(known.lastPoll) <= w.expiry {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}
