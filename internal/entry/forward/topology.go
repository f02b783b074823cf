package forward

import (
	"time"

	"wigeonbay/internal/api"
)

const (
	// sharedConnectionFraction is the part of a target's connections that the entry nodes
	// share. The rest is left for connections that are closing, and for those
	// that a target still counts after a node has lost its power.
	sharedConnectionFraction = 0.8
	// Weights of a node's share of a target's connections: nodes of its own data
	// centre use it for everything, those of a data centre that has no target of
	// the pool for much, and the others for hedges.
	localWeight    = 3.0
	unservedWeight = 2.0
	remoteWeight   = 1.0
	// minLocalShare and minRemote are the least shares. Few nodes use theirs at the
	// same moment, and a target over its limit resets a new connection.
	minLocalShare  = 3
	minRemoteShare = 2
	// spareConnections is how many more than a target's slots one node uses:
	// what waits for a slot can wait here as well, and go elsewhere.
	spareConnections = 2
	// defaultMaxConnections is the limit of a target whose pool sets none.
	defaultMaxConnections = 64
	// minPerNodeForIdle is the number of connections for each entry node from which
	// one holds on to an idle connection to a target elsewhere. With fewer, the
	// idle connections of all nodes would use up the target's limit.
	minPerNodeForIdle = 2.0
	// preopenedConnections are opened to each target of the own data centre before
	// they are needed: a request that opens one waits for the round trip and
	// for the slot that accepting it takes.
	preopenedConnections = 1
)

func (s *State) installTable(table *api.RoutingTable) {
	if table.Version <= s.TableVersion() {
		return
	}
	s.table = table
	for _, p := range s.pools {
		p.routed = false
	}
	for _, config := range table.Pools {
		s.poolNamed(config.Name).config = config
	}
	s.routes = newRoutes(table, s.routes, func(name string) *pool {
		p := s.poolNamed(name)
		p.routed = true
		return p
	})
	for _, t := range s.targets {
		s.shareConnections(t)
	}
}

func (s *State) poolNamed(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name}
		s.pools[name] = p
	}
	return p
}

func (s *State) updateNodes(perDataCentre map[string]int) {
	s.nodes = perDataCentre
	if s.nodes[s.options.DataCentre] == 0 {
		s.nodes[s.options.DataCentre] = 1
	}
	for _, t := range s.targets {
		s.shareConnections(t)
	}
}

func (s *State) updateTarget(a api.Announcement) {
	t := s.targets[a.Target]
	if t != nil && (a.State == api.TargetGone || t.announcement.Incarnation != a.Incarnation ||
		t.announcement.Address != a.Address || t.announcement.Service != a.Service) {
		s.removeTarget(t)
		t = nil
	}
	if a.State == api.TargetGone {
		return
	}
	if t == nil {
		t = newTarget(a, s.now)
		t.local = a.DataCentre == s.options.DataCentre
		s.targets[a.Target] = t
		s.poolNamed(a.Service).add(t)
	}
	t.announcement = a
	s.sharePoolConnections(t.pool)
	s.sendWaiting(t.pool)
}

// sharePoolConnections takes this node's part of the connections of a pool's targets: it
// depends on which data centres have one.
func (s *State) sharePoolConnections(p *pool) {
	for _, t := range p.targets {
		s.shareConnections(t)
	}
}

// removeTarget forgets a target that is gone. Its attempts end by themselves.
func (s *State) removeTarget(t *target) {
	t.announcement.State = api.TargetGone
	delete(s.targets, t.id())
	t.pool.remove(t)
	s.emit(Forget{Target: t.id()})
	s.sharePoolConnections(t.pool)
	s.sendWaiting(t.pool)
}

// shareConnections takes this node's part of a target's connections.
func (s *State) shareConnections(t *target) {
	limit := t.pool.config.MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	total := 0.0
	for dataCentre, nodes := range s.nodes {
		total += float64(nodes) * t.shareWeight(dataCentre)
	}
	own := t.shareWeight(s.options.DataCentre)
	share := int(sharedConnectionFraction * float64(limit) * own / max(total, own))
	least := minRemoteShare
	if own > remoteWeight {
		least = minLocalShare
	}
	t.share = min(max(share, least), t.announcement.Slots+spareConnections)
	preopen := 0
	if t.local && t.acceptsWork() && t.pool.routed {
		preopen = preopenedConnections
	}
	maxIdle := preopen
	if sharedConnectionFraction*float64(limit) >= minPerNodeForIdle*float64(s.nodeCount()) {
		maxIdle = max(maxIdle, 1)
	}
	s.emit(Connect{Target: t.id(), Address: t.announcement.Address, Connections: t.share, Preopen: preopen, MaxIdle: maxIdle})
}

// shareWeight is that of a data centre's nodes for a target's connections.
func (t *target) shareWeight(dataCentre string) float64 {
	switch {
	case dataCentre == t.announcement.DataCentre:
		return localWeight
	case !t.pool.hasTargetIn(dataCentre):
		return unservedWeight
	default:
		return remoteWeight
	}
}

// sendDueProbes sends the health checks that are due.
func (s *State) sendDueProbes() {
	for _, t := range s.targets {
		if !t.unreachable || t.probing || !t.acceptsWork() || s.now.Before(t.nextProbe) {
			continue
		}
		t.probing = true
		s.counters.Probes++
		s.emit(Probe{Target: t.id(), Address: t.announcement.Address, Path: t.pool.config.HealthPath})
	}
}

func (s *State) handleProbeEnd(ev ProbeEnded) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.probing = false
	if !t.unreachable {
		return
	}
	if !ev.Healthy {
		t.probeInterval = min(maxProbeInterval, 2*t.probeInterval)
		t.nextProbe = s.now.Add(t.probeInterval)
		return
	}
	s.markReachable(t)
	s.sendWaiting(t.pool)
}

// markReachable takes a target back into service.
func (s *State) markReachable(t *target) {
	t.failures = 0
	if !t.unreachable {
		return
	}
	t.unreachable = false
	s.emit(ReachabilityChanged{Target: t.id(), Pool: t.pool.name, Change: ReachabilityRestored, Slowdown: t.expectedSlowdown(s.now)})
}

// recordFailure notes a failure that is the target's own.
func (s *State) recordFailure(t *target) {
	t.failures++
	if t.failures < failuresToUnreachable || t.unreachable {
		return
	}
	t.unreachable = true
	t.probeInterval = minProbeInterval
	t.nextProbe = s.now.Add(minProbeInterval)
	s.counters.Unreached++
	s.emit(ReachabilityChanged{
		Target: t.id(), Pool: t.pool.name, Change: ReachabilityLost,
		Failures: t.failures, Slowdown: t.expectedSlowdown(s.now),
	})
	s.dropWaitingIfUnusable(t.pool)
}

// dropWaitingIfUnusable gives up the waiting parts of a pool that has no usable target
// left.
func (s *State) dropWaitingIfUnusable(p *pool) {
	if p.usable() {
		return
	}
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		w.phase = partIdle
		if !w.request.done {
			s.markMissing(w)
		}
	}
}

// untilNextProbe is when the first unreachable target of a pool may be back.
func (s *State) untilNextProbe(p *pool) time.Duration {
	soonest := maxProbeInterval
	for _, t := range p.targets {
		if t.acceptsWork() && t.unreachable {
			soonest = min(soonest, max(minProbeInterval, t.nextProbe.Sub(s.now)))
		}
	}
	return soonest
}
