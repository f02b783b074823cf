package forward

import (
	"wigeonbay/internal/api"
)

const (
	// sharedConnectionFraction is the fraction of a target's connection limit that the
	// entry nodes share. The rest is left for connections that are closing, and for
	// those that the target still counts after a node has lost power.
	sharedConnectionFraction = 0.8
	// Weights for dividing a target's connections among entry nodes. Nodes in the
	// target's data centre use it for all kinds of requests, those in a data centre
	// without a target of the pool for many, and the others mainly for hedges.
	localWeight    = 3.0
	unservedWeight = 2.0
	remoteWeight   = 1.0
	// minLocalShare is the least share of a node with a weight above remoteWeight,
	// minRemoteShare that of the other nodes. The shares of all nodes may then exceed
	// the target's limit, but few nodes use theirs at the same time, and a target over
	// its limit only resets the new connection.
	minLocalShare  = 3
	minRemoteShare = 2
	// spareConnections is the number of connections that one node may hold beyond a
	// target's slots. Further requests are better queued on the node, from where they
	// can go to another target.
	spareConnections = 2
	// defaultMaxConnections is the connection limit of targets whose pool sets none.
	defaultMaxConnections = 64
	// minPerNodeForIdle is the number of shared connections per entry node from which
	// each node keeps an idle connection even to targets without a preopened one. With
	// fewer, the idle connections of all nodes would use up the target's limit.
	minPerNodeForIdle = 2.0
	// preopenedConnections is the number of connections opened in advance to each
	// target in the node's data centre, or to the nearest target of a pool without one
	// there. A request that opens one itself waits for the round trip and for the slot
	// that accepting the connection takes.
	preopenedConnections = 1
)

// installTable replaces the routing table by a newer one.
func (s *State) installTable(table *api.RoutingTable) {
	if table.Version <= s.TableVersion() {
		return
	}
	s.table = table
	for _, p := range s.pools {
		p.routed, p.named, p.gathered = false, false, false
	}
	for _, config := range table.Pools {
		p := s.poolNamed(config.Name)
		p.config, p.named = config, true
	}
	s.routes = newRoutes(table, s.routes, func(name string) *pool {
		p := s.poolNamed(name)
		p.routed = true
		return p
	})
	s.installAccounts()
	for i := range table.Routes {
		for _, name := range table.Routes[i].Gather {
			s.pools[name].gathered = true
		}
	}
	s.settleAll()
	for _, t := range s.targets {
		s.shareConnections(t)
	}
	s.recheckRequests()
	s.installQuotas()
	s.admitEarly()
}

// poolNamed returns the pool with the given name and creates it if necessary.
func (s *State) poolNamed(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name}
		s.pools[name] = p
	}
	return p
}

func (s *State) updateNodes(perDataCentre map[string]int, rank int) {
	s.nodes, s.rank, s.nodesKnown = perDataCentre, max(0, rank), true
	if s.nodes[s.options.DataCentre] == 0 {
		s.nodes[s.options.DataCentre] = 1
	}
	for _, t := range s.targets {
		s.shareConnections(t)
	}
}

// updateTarget applies the announcement of a registration that no other one outranks. A
// target whose incarnation or address has changed is replaced by a new one.
func (s *State) updateTarget(r *registration) {
	a, t := r.announcement, r.target
	if t != nil && (t.announcement.Incarnation != a.Incarnation || t.announcement.Address != a.Address) {
		s.removeTarget(t)
		t = nil
	}
	if t == nil {
		t = newTarget(a, s.now)
		if r.past != nil && r.past.incarnation == a.Incarnation {
			t.demands = r.past.demands
		}
		t.local = a.DataCentre == s.options.DataCentre
		t.registration, r.target = r, t
		s.targets[a.Target] = t
		s.poolNamed(a.Service).add(t)
		if r.refuted {
			s.holdUntilHealthy(t)
		}
	}
	s.applyAnnouncement(t, a)
	if s.setEvacuated(t) {
		s.countUnreachable(0)
	}
	s.sharePoolConnections(t.pool)
	s.sendWaiting(t.pool)
}

// sharePoolConnections recomputes the node's share of the connections of all targets
// of a pool, which depends on the data centres that have a target.
func (s *State) sharePoolConnections(p *pool) {
	for _, t := range p.targets {
		s.shareConnections(t)
	}
}

// removeTarget removes a target. Its attempts in flight are not cancelled.
func (s *State) removeTarget(t *target) {
	s.confirmCrash(t)
	t.announcement.State = api.TargetGone
	t.registration.target, t.registration.past = nil, t.pastDemands()
	delete(s.targets, t.id())
	s.forgetEvacuated(t)
	if t.unreachable {
		t.unreachable = false
		s.countUnreachable(-1)
	}
	t.pool.remove(t)
	s.emit(Forget{Target: t.id()})
	s.sharePoolConnections(t.pool)
	s.sendWaiting(t.pool)
}

// shareConnections computes the node's share of a target's connections and configures
// the connection pool.
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
	s.shareRateLimit(t)
	s.shareWarmup(t)
	preopen, maxIdle := s.idleConnections(t, sharedConnectionFraction*float64(limit))
	t.preopened, t.kept = preopen, maxIdle
	s.emit(Connect{
		Target: t.id(), Address: t.announcement.Address, Connections: t.share, Preopen: preopen, MaxIdle: maxIdle,
		Suspended: t.evacuated || t.drained,
	})
}

// idleConnections returns how many connections to a target to open in advance, and how
// many idle ones to keep, if all nodes share the given number.
func (s *State) idleConnections(t *target, shared float64) (preopen, maxIdle int) {
	if t.evacuated {
		return 0, 0
	}
	if t.acceptsWork() && t.pool.routed && (t.local || s.isNearest(t) && s.nearestNodes(t) <= shared) {
		preopen = preopenedConnections
	}
	if shared >= minPerNodeForIdle*float64(s.nodeCount()) {
		return preopen, max(preopen, 1)
	}
	if preopen == 0 && t.pool.gathered && s.keepsForHedges(t, shared) {
		if !s.opensForHedges {
			return 0, 1
		}
		return preopenedConnections, 1
	}
	return preopen, preopen
}

// hedgeConnectionDelay is how long after its start a node opens connections for hedges in
// advance. After a power failure targets still count the connections of the nodes' previous
// processes, and those for hedges would take the place of those for requests.
const hedgeConnectionDelay = 2 * startVerifyTime

// openForHedges opens the connections for hedges once the node has run for
// hedgeConnectionDelay.
func (s *State) openForHedges() {
	if s.opensForHedges || s.now.Sub(s.started) < hedgeConnectionDelay {
		return
	}
	s.opensForHedges = true
	for _, t := range s.targets {
		s.shareConnections(t)
	}
}

// keepsForHedges reports whether this node keeps an idle connection to t for hedges,
// which are of little use if they have to open one first. Each node keeps one to a single
// target of a pool beside the nearest. By rank the nodes of a data centre are spread
// over the others, and those of a high rank keep none if the target's connections, of
// which all nodes share the given number, don't suffice.
func (s *State) keepsForHedges(t *target, shared float64) bool {
	at, others := -1, 0
	for _, other := range t.pool.targets {
		if !other.acceptsWork() || other.local || s.isNearest(other) {
			continue
		}
		if other == t {
			at = others
		}
		others++
	}
	if at < 0 || s.rank%others != at {
		return false
	}
	nearest := s.nearestNodes(t)
	hedging := (float64(s.nodeCount()) - nearest) / float64(others)
	return float64(s.rank+1)*hedging <= (shared-nearest)*float64(s.nodes[s.options.DataCentre])
}

// isNearest reports whether a node without a target of the pool in its data centre sends
// most requests to t: no other one has a shorter round trip. Round trips that have not
// been measured don't count.
func (s *State) isNearest(t *target) bool {
	own, known := s.roundTrips[t.announcement.DataCentre]
	if !known || t.pool.hasTargetIn(s.options.DataCentre) {
		return false
	}
	for _, other := range t.pool.targets {
		roundTrip, measured := s.roundTrips[other.announcement.DataCentre]
		if other != t && other.acceptsWork() && measured && roundTrip < own {
			return false
		}
	}
	return true
}

// nearestNodes returns the number of nodes that keep a connection to t: those in its data
// centre, and its part of those in data centres without a target of its pool.
func (s *State) nearestNodes(t *target) float64 {
	unserved, served := 0, 0
	for dataCentre, nodes := range s.nodes {
		if t.pool.hasTargetIn(dataCentre) {
			served++
		} else {
			unserved += nodes
		}
	}
	return float64(s.nodes[t.announcement.DataCentre]) + float64(unserved)/float64(max(1, served))
}

// shareWeight returns the weight of a data centre's nodes for sharing the target's
// connections.
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

// sendDueProbes sends the health checks that are due, of unreachable targets and of those
// that may have crashed.
func (s *State) sendDueProbes() {
	if s.isolation.Isolated() {
		s.probeAnyTargets()
		return
	}
	for _, t := range s.targets {
		// A service that no table names has no health path.
		due := t.pool.named && (t.unreachable && !s.now.Before(t.nextProbe) && !s.now.Before(t.retryAt) || t.needsCrashProbe(s.now) || t.needsWarmupProbe(s.now))
		if t.probing || !t.acceptsWork() || !due {
			continue
		}
		s.probe(t)
	}
}

func (s *State) probe(t *target) {
	t.probing = true
	s.counters.Probes++
	s.emit(Probe{Target: t.id(), Incarnation: t.announcement.Incarnation, Address: t.announcement.Address, Path: t.pool.config.HealthPath})
}

// handleProbeEnd marks a healthy target reachable, or doubles the interval until its
// next health check.
func (s *State) handleProbeEnd(ev ProbeEnded) {
	t := s.targets[ev.Target]
	if t == nil || t.announcement.Incarnation != ev.Incarnation {
		return
	}
	t.probing = false
	if ev.Answered {
		s.recordReply()
	}
	if ev.AnsweredBy != "" {
		s.setRefuted(t, ev.AnsweredBy != t.id())
	}
	switch {
	case ev.Refused:
		s.confirmCrash(t)
	case ev.Answered:
		t.suspicions = nil
	default:
		t.dropOldSuspicions(s.now)
	}
	s.applyDemand(t, ev.Demand)
	switch {
	case ev.Healthy:
		s.observeWarmup(t, ev.Warmup)
	case t.warmup.unverified:
		t.warmup.probeAt = s.now.Add(minProbeInterval)
	}
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

// markReachable resets a target's count of failures and, if it was unreachable, makes
// it available again.
func (s *State) markReachable(t *target) {
	t.failures = 0
	if !t.unreachable {
		return
	}
	t.unreachable = false
	s.countUnreachableOf(t, -1)
	s.emit(ReachabilityChanged{Target: t.id(), Pool: t.pool.name, NewState: TargetReachable, Slowdown: t.expectedSlowdown(s.now)})
}

// recordFailure counts a failure to reach a target, which becomes unreachable after
// failuresToUnreachable in a row.
func (s *State) recordFailure(t *target) {
	if s.targets[t.id()] != t {
		return // removed with attempts in flight
	}
	t.failures++
	if t.failures < failuresToUnreachable || t.unreachable {
		return
	}
	s.markUnreachable(t)
}

// holdUntilHealthy keeps requests from a target until a health check has found it at its address.
func (s *State) holdUntilHealthy(t *target) {
	if !t.unreachable {
		t.failures = failuresToUnreachable
		s.markUnreachable(t)
	}
}

func (s *State) markUnreachable(t *target) {
	t.unreachable = true
	s.markUnverified(t)
	s.countUnreachableOf(t, 1)
	t.probeInterval = minProbeInterval
	t.nextProbe = s.now.Add(minProbeInterval)
	s.counters.Unreached++
	s.emit(ReachabilityChanged{
		Target: t.id(), Pool: t.pool.name, NewState: TargetUnreachable,
		Failures: t.failures, Slowdown: t.expectedSlowdown(s.now),
	})
	s.dropHopelessWaiting(t.pool)
}
