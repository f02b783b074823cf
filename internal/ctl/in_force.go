package ctl

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"wigeonbay/internal/settings"
	"wigeonbay/internal/wait"
)

const (
	// pollInterval is the delay between two status requests to an entry node.
	pollInterval = 100 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed status requests after
	// which a node counts as unreachable.
	maxFailedPolls = 3
)

// inForce lists the entry nodes at which a configuration version is in force.
type inForce struct {
	Version uint64 `json:"version"`
	// Nodes are the nodes with this or a later version.
	Nodes []string `json:"nodes"`
	// Behind are the reachable nodes without this version at the time limit.
	Behind []string `json:"behind"`
	// Unreachable are the nodes that didn't respond.
	Unreachable []string `json:"unreachable"`
}

func (f *inForce) writeText(w io.Writer) {
	writeLine(w, "in force at %d entry nodes: %s", len(f.Nodes), joinNames(f.Nodes))
	if len(f.Unreachable) > 0 {
		writeLine(w, "not reached: %s", joinNames(f.Unreachable))
	}
}

func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// nodeState is the state of an entry node at the end of the wait.
type nodeState int

const (
	nodeUpToDate nodeState = iota
	nodeBehind
	nodeUnreachable
)

// waitInForce waits until every reachable node has the version or ctx is done.
func (e *entryClient) waitInForce(ctx context.Context, version uint64) *inForce {
	states := make([]nodeState, len(e.nodes))
	var wg sync.WaitGroup
	for i, node := range e.nodes {
		wg.Go(func() { states[i] = e.waitNode(ctx, node, version) })
	}
	wg.Wait()
	result := &inForce{Version: version, Nodes: []string{}, Behind: []string{}, Unreachable: []string{}}
	for i, node := range e.nodes {
		result.add(node.ID, states[i])
	}
	return result
}

func (f *inForce) add(id string, state nodeState) {
	switch state {
	case nodeUpToDate:
		f.Nodes = append(f.Nodes, id)
	case nodeBehind:
		f.Behind = append(f.Behind, id)
	case nodeUnreachable:
		f.Unreachable = append(f.Unreachable, id)
	}
}

// waitNode polls one node until it has the version, counts as unreachable, or ctx is
// done.
func (e *entryClient) waitNode(ctx context.Context, node settings.EntryAddress, version uint64) nodeState {
	failures := 0
	state := nodeUnreachable
	for {
		status, err := e.status(ctx, node)
		var refused *problemError
		switch {
		case err == nil && status.ConfigVersion >= version:
			return nodeUpToDate
		case err == nil || errors.As(err, &refused):
			state = nodeBehind
			failures = 0
		default:
			failures++
		}
		if failures == maxFailedPolls {
			return nodeUnreachable
		}
		if !wait.Sleep(ctx, pollInterval) {
			return state
		}
	}
}
