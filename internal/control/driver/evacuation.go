package driver

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/telemetry"
)

// levelTimeout bounds how long an order waits for a member of the group that doesn't poll
// this process to tell the feature level of its build. One that doesn't answer within it is
// taken to be dead and doesn't block the order. It leaves most of the second in which an
// order is usually acknowledged.
const levelTimeout = 300 * time.Millisecond

// Evacuate commits an order to evacuate a data centre, or its withdrawal. The error wraps
// api.ErrUnknownDataCentre if the settings don't list the data centre; after another one the
// order may still take effect.
func (n *Node) Evacuate(ctx context.Context, dataCentre string, evacuated bool, operator string) error {
	if !n.knowsDataCentre(dataCentre) {
		return fmt.Errorf("%w: %q", api.ErrUnknownDataCentre, dataCentre)
	}
	reply := n.evacuate(ctx, &controlrpc.EvacuateArgs{DataCentre: dataCentre, Evacuated: evacuated, Operator: operator})
	return resultError(reply.Result)
}

func (n *Node) evacuate(ctx context.Context, args *controlrpc.EvacuateArgs) controlrpc.EvacuateReply {
	reply := controlrpc.EvacuateReply{Result: refuseOutdated(n.outdatedWatchers(discovery.LevelEvacuation))}
	if reply.Result.Code == controlrpc.CodeOK {
		reply = n.evacuateAtLeader(ctx, args)
	}
	event := telemetry.ControlEvacuationAccepted
	if reply.Result.Code != controlrpc.CodeOK {
		event = telemetry.ControlEvacuationNotAccepted
	}
	event.Log(n.logger,
		zap.String("data_centre", args.DataCentre),
		zap.Bool("evacuated", args.Evacuated),
		zap.String("operator", args.Operator),
		zap.Uint64("version", reply.Version),
		zap.String("code", string(reply.Result.Code)),
		zap.String("detail", reply.Result.Detail))
	return reply
}

func (n *Node) evacuateAtLeader(ctx context.Context, args *controlrpc.EvacuateArgs) controlrpc.EvacuateReply {
	return callLeader(ctx, n, leaderCall[controlrpc.EvacuateReply]{
		local:  func() controlrpc.EvacuateReply { return n.evacuateLocal(ctx, args) },
		method: methodEvacuate,
		args:   args,
		result: func(r *controlrpc.EvacuateReply) *controlrpc.Result { return &r.Result },
	})
}

// refuseOutdated returns the result of an order while processes of an earlier build are known.
func refuseOutdated(processes []string) controlrpc.Result {
	if len(processes) == 0 {
		return controlrpc.Result{}
	}
	return notApplied(controlrpc.CodeUnsupported,
		"processes of an earlier build don't know orders to evacuate: "+strings.Join(processes, ", "))
}

// knowsDataCentre reports whether the settings list a data centre. Settings that list none
// allow any name of a usual length.
func (n *Node) knowsDataCentre(name string) bool {
	if len(n.cfg.DataCentres) == 0 {
		return name != "" && len(name) <= controlrpc.MaxDataCentreBytes
	}
	return slices.ContainsFunc(n.cfg.DataCentres, func(d settings.DataCentre) bool { return d.Name == name })
}

// evacuateLocal proposes an order if this replica leads and no process of an earlier build
// is known.
func (n *Node) evacuateLocal(ctx context.Context, args *controlrpc.EvacuateArgs) controlrpc.EvacuateReply {
	refused, ok := n.validate(func(m *machine.Machine) error { return m.CheckEvacuation(*args) })
	if !ok {
		return controlrpc.EvacuateReply{Result: refused}
	}
	if n.view.Load().role != replica.RoleLeader {
		return controlrpc.EvacuateReply{Result: n.notLeader()}
	}
	refused = refuseOutdated(n.outdatedProcesses(ctx, discovery.LevelEvacuation))
	if refused.Code != controlrpc.CodeOK {
		return controlrpc.EvacuateReply{Result: refused}
	}
	order := &machine.EvacuationOrder{DataCentre: args.DataCentre, Evacuated: args.Evacuated, Operator: args.Operator}
	if newest := n.newestEvacuations(); newest.Version > n.appliedEvacuations().Version {
		order.Newest = &newest
	}
	result, status := n.propose(ctx, machine.Command{Kind: machine.KindTable, Table: &controlrpc.Document{}, Evacuation: order})
	return controlrpc.EvacuateReply{Result: status, Version: result.EvacuationsVersion}
}

// outdatedProcesses returns the names of the live entry nodes and of the members of the group
// that are known to be of a build below a feature level.
//
// Entry nodes are known by their polls, so a process that has just started waits until they
// have polled it again. Members that don't poll this process are asked. One that answers
// neither doesn't count: it is dead or cut off, and its machine may never come back.
func (n *Node) outdatedProcesses(ctx context.Context, level int) []string {
	var members replica.Membership
	if err := n.inspect(ctx, func(s *replica.State) { members, _ = s.Membership() }); err != nil {
		return nil
	}
	n.directory.mu.Lock()
	polling := n.directory.watchers.Live(time.Now())
	n.directory.mu.Unlock()
	var mu sync.Mutex
	var outdated []string
	var asked sync.WaitGroup
	for _, m := range members.Members {
		if m.Identity == n.self || slices.Contains(polling, m.Identity.ID) {
			continue
		}
		asked.Go(func() {
			if memberLevel, known := n.askLevel(ctx, m.Address); known && memberLevel < level {
				mu.Lock()
				defer mu.Unlock()
				outdated = append(outdated, m.Identity.ID)
			}
		})
	}
	asked.Wait()
	if left := time.Until(n.directory.started.Add(watcherReturnTime)); left > 0 {
		select {
		case <-time.After(left):
		case <-ctx.Done():
		case <-n.stop.Done():
		}
	}
	outdated = append(outdated, n.outdatedWatchers(level)...)
	slices.Sort(outdated)
	return slices.Compact(outdated)
}

// outdatedWatchers returns the names of the processes that poll this one and are of a build
// below a feature level.
func (n *Node) outdatedWatchers(level int) []string {
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	return n.directory.watchers.Outdated(time.Now(), level)
}

// askLevel returns the feature level of the replica at an address, and false if it doesn't
// tell within levelTimeout.
func (n *Node) askLevel(ctx context.Context, address string) (level int, known bool) {
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	var reply HelloReply
	if err := n.client.Call(ctx, address, methodHello, &HelloArgs{Group: n.cfg.Group}, &reply); err != nil {
		return 0, false
	}
	return reply.FeatureLevel, true
}

// Evacuate orders an evacuation or withdraws one; operators' tools call it.
func (c *controlService) Evacuate(args *controlrpc.EvacuateArgs, reply *controlrpc.EvacuateReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		if !c.n.knowsDataCentre(args.DataCentre) {
			reply.Result = invalidResult(fmt.Sprintf("%v: %q", api.ErrUnknownDataCentre, args.DataCentre))
			return
		}
		*reply = c.n.evacuate(ctx, args)
	})
	return nil
}

// Evacuate is Control.Evacuate, called by a replica that considers this one the leader.
func (p *peerService) Evacuate(args *controlrpc.EvacuateArgs, reply *controlrpc.EvacuateReply) error {
	p.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		*reply = p.n.evacuateLocal(ctx, args)
	})
	return nil
}

// ReadEvacuations returns the orders, confirmed by a quorum, and what the entry nodes that
// poll this process have confirmed.
func (c *controlService) ReadEvacuations(args *controlrpc.ReadEvacuationsArgs, reply *controlrpc.ReadEvacuationsReply) error {
	c.n.serveCall(args.Envelope, 0, &reply.Result, func(ctx context.Context) {
		if reply.Result = c.n.confirmRead(ctx); reply.Result.Code != controlrpc.CodeOK {
			return
		}
		reply.Evacuations = c.n.appliedEvacuations()
		c.n.directory.mu.Lock()
		defer c.n.directory.mu.Unlock()
		reply.EntryNodes = c.n.directory.watchers.EntryFeatures(time.Now())
	})
	return nil
}

// appliedEvacuations returns the orders that this replica has applied.
func (n *Node) appliedEvacuations() controlrpc.Evacuations {
	n.machineMu.RLock()
	defer n.machineMu.RUnlock()
	return n.machine.Evacuations()
}

// newestEvacuations returns the newest orders that are known to be committed, from the log or
// from a watcher.
func (n *Node) newestEvacuations() controlrpc.Evacuations {
	applied := n.appliedEvacuations()
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	if n.directory.watcherEvacuations.Version > applied.Version {
		return n.directory.watcherEvacuations
	}
	return applied
}

// recordEvacuations keeps newer orders that a watcher sent, as recordTable keeps a newer
// routing table.
func (n *Node) recordEvacuations(args *controlrpc.WatchArgs) {
	if args.Evacuations == nil {
		return
	}
	n.directory.mu.Lock()
	newer := args.Evacuations.Version > n.directory.watcherEvacuations.Version
	if newer {
		n.directory.watcherEvacuations = *args.Evacuations
	}
	n.directory.mu.Unlock()
	if newer {
		n.directory.changed.signal()
	}
}

// followsEvacuations reports whether a watcher is an entry node whose build knows orders to
// evacuate. Polls of others name no version and must not be answered at once for its sake.
func followsEvacuations(args *controlrpc.WatchArgs) bool {
	return args.Kind == discovery.WatcherEntry && args.FeatureLevel >= discovery.LevelEvacuation
}

// wantsEvacuations reports whether an entry node has newer orders than this process.
func (n *Node) wantsEvacuations(args *controlrpc.WatchArgs) bool {
	return followsEvacuations(args) && args.EvacuationsVersion > n.newestEvacuations().Version
}

// fillEvacuations fills in what the watcher lacks of the orders.
func (n *Node) fillEvacuations(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
	reply.FeatureLevel = discovery.FeatureLevel
	set := n.newestEvacuations()
	reply.EvacuationsVersion = set.Version
	reply.WantEvacuations = n.wantsEvacuations(args)
	if followsEvacuations(args) && set.Version > args.EvacuationsVersion {
		reply.Evacuations = &set
	}
}
