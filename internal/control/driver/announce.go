package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/telemetry"
	"wigeonbay/internal/wait"
)

const (
	// confirmTimeout bounds how long a leaving target waits for the watchers;
	// targets give up on a call after a second.
	confirmTimeout = 700 * time.Millisecond
	// abandonedCallTime is how long a departure that names no incarnation waits for the end
	// of its connection, which follows the call if its sender has given it up.
	abandonedCallTime = 20 * time.Millisecond
	// unknownTargetTime is how long such a departure waits for the record of its target.
	// Together with confirmTimeout it stays below the second that targets wait.
	unknownTargetTime = 200 * time.Millisecond
)

// errUnknownTarget means that no process that this one reaches knows a target that leaves.
// There is nothing to acknowledge, as no entry node is told that it leaves.
var errUnknownTarget = errors.New("no such target is known")

// errUnconfirmed means that a live watcher may not know that a target leaves.
// The departure is not acknowledged, since the watcher could go on sending
// requests to the target after the acknowledgement.
var errUnconfirmed = errors.New("not every entry node has confirmed that the target leaves")

// Announce records a target's announcement. If the target accepts no more work,
// nil means that all live entry nodes and control processes that poll this one
// know it.
func (n *Node) Announce(ctx context.Context, a api.Announcement) error {
	changed, revision := n.directory.hear(a)
	n.logTargets(changed, "announced")
	if a.State.AcceptsWork() {
		return nil
	}
	return n.awaitConfirmation(ctx, a, revision)
}

// Depart records that a target leaves, and waits for the confirmation as
// Announce does. An incarnation of 0 selects the known one. Such a departure isn't carried
// out if its sender has given the call up already: it was then repeated at another process,
// and may have been delayed until a later incarnation is known.
func (n *Node) Depart(ctx context.Context, target api.TargetID, incarnation uint64) error {
	if incarnation == 0 && !wait.Sleep(ctx, abandonedCallTime) {
		return ctx.Err()
	}
	departures, err := n.awaitKnown(ctx, target, incarnation)
	if err != nil {
		return err
	}
	changed, revision := n.directory.merge(departures...)
	n.logTargets(changed, "departed")
	return n.awaitConfirmation(ctx, departures[0], revision)
}

// awaitKnown returns the announcements that a target departs. A target that this process
// doesn't know is probably known to another one, whose records then come soon.
func (n *Node) awaitKnown(ctx context.Context, target api.TargetID, incarnation uint64) ([]api.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, unknownTargetTime)
	defer cancel()
	for {
		changed := n.directory.changed.next()
		n.directory.mu.Lock()
		departures := n.directory.targets.Departures(target, incarnation)
		n.directory.mu.Unlock()
		if len(departures) > 0 {
			return departures, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %q", errUnknownTarget, target)
		case <-n.stop.Done():
			return nil, errStopping
		}
	}
}

func (n *Node) mergeAnnouncement(a api.Announcement, source string) {
	changed, _ := n.directory.merge(a)
	n.logTargets(changed, source)
}

func (n *Node) logTargets(changed []api.Announcement, source string) {
	for _, c := range changed {
		telemetry.ControlTargetChanged.Log(n.logger,
			zap.String("target", string(c.Target)),
			zap.String("service", c.Service),
			zap.String("state", string(c.State)),
			zap.Uint64("incarnation", c.Incarnation),
			zap.Uint64("sequence", c.Sequence),
			zap.Bool("confirmed", c.Confirmed),
			zap.Uint32("reinstated", c.Reinstated),
			zap.String("source", source))
	}
}

func (n *Node) awaitConfirmation(ctx context.Context, a api.Announcement, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// Until watcherReturnTime has passed, live watchers may not have polled
	// again yet.
	returnTimer := time.NewTimer(time.Until(n.directory.started.Add(watcherReturnTime)))
	defer returnTimer.Stop()
	for {
		polled := n.directory.confirmed.next()
		n.directory.mu.Lock()
		behind := n.directory.watchers.Behind(time.Now(), revision)
		n.directory.mu.Unlock()
		if len(behind) == 0 && time.Since(n.directory.started) >= watcherReturnTime {
			return nil
		}
		select {
		case <-polled:
		case <-returnTimer.C:
		case <-ctx.Done():
			telemetry.ControlWithdrawalUnconfirmed.Log(n.logger,
				zap.String("target", string(a.Target)),
				zap.Strings("behind", behind),
				zap.Uint64("revision", revision))
			return errUnconfirmed
		case <-n.stop.Done():
			return errStopping
		}
	}
}
