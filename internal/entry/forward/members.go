package forward

import (
	"time"

	"wigeonbay/internal/api"
)

const (
	// usedConnections is the part of a target's connections that the entry nodes
	// share. The rest is left for connections that are closing, and for those
	// that a target still counts after a node has lost its power.
	usedConnections = 0.8
	// Weights of a node's share of a target's connections: nodes of its own data
	// centre use it for everything, those of a data centre that has no target of
	// the pool for much, and the others for hedges.
	localWeight  = 3.0
	needyWeight  = 2.0
	remoteWeight = 1.0
	// minLocal and minRemote are the least shares. Few nodes use theirs at the
	// same moment, and a target over its limit resets a new connection.
	minLocal  = 3
	minRemote = 2
	// spareConnections is how many more than a target's slots one node uses:
	// what waits for a slot can wait here as well, and go elsewhere.
	spareConnections = 2
	// unknownConnections is the limit of a target whose pool sets none.
	unknownConnections = 64
	// keptConnections is the number of connections for each entry node from which
	// one holds on to an idle connection to a target elsewhere. With fewer, the
	// idle connections of all nodes would use up the target's limit.
	keptConnections = 2.0
	// aheadConnections are opened to each target of the own data centre before
	// they are needed: a request that opens one waits for the round trip and
	// for the slot that accepting it takes.
	aheadConnections = 1
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

func (s *State) changeNodes(perDataCentre map[string]int) {
	s.nodes = perDataCentre
	if s.nodes[s.options.DataCentre] == 0 {
		s.nodes[s.options.DataCentre] = 1
	}
	for _, t := range s.targets {
		s.shareConnections(t)
	}
}

func (s *State) changeTarget(a api.Announcement) {
	t := s.targets[a.Target]
	if t != nil && (a.State == api.TargetGone || t.news.Incarnation != a.Incarnation ||
		t.news.Address != a.Address || t.news.Service != a.Service) {
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
	t.news = a
	s.sharePool(t.pool)
	s.pump(t.pool)
}

// sharePool takes this node's part of the connections of a pool's targets: it
// depends on which data centres have one.
func (s *State) sharePool(p *pool) {
	for _, t := range p.targets {
		s.shareConnections(t)
	}
}

// removeTarget forgets a target that is gone. Its attempts end by themselves.
func (s *State) removeTarget(t *target) {
	t.news.State = api.TargetGone
	delete(s.targets, t.id())
	t.pool.remove(t)
	s.emit(Forget{Target: t.id()})
	s.sharePool(t.pool)
	s.pump(t.pool)
}

// shareConnections takes this node's part of a target's connections.
func (s *State) shareConnections(t *target) {
	most := t.pool.config.MaxConnections
	if most <= 0 {
		most = unknownConnections
	}
	total := 0.0
	for dataCentre, nodes := range s.nodes {
		total += float64(nodes) * t.weight(dataCentre)
	}
	own := t.weight(s.options.DataCentre)
	share := int(usedConnections * float64(most) * own / max(total, own))
	least := minRemote
	if own > remoteWeight {
		least = minLocal
	}
	t.share = min(max(share, least), t.news.Slots+spareConnections)
	ahead := 0
	if t.local && t.accepts() && t.pool.routed {
		ahead = aheadConnections
	}
	kept := ahead
	if usedConnections*float64(most) >= keptConnections*float64(s.nodeCount()) {
		kept = max(kept, 1)
	}
	s.emit(Connect{Target: t.id(), Address: t.news.Address, Connections: t.share, Ahead: ahead, Kept: kept})
}

// weight is that of a data centre's nodes for a target's connections.
func (t *target) weight(dataCentre string) float64 {
	switch {
	case dataCentre == t.news.DataCentre:
		return localWeight
	case !t.pool.served(dataCentre):
		return needyWeight
	default:
		return remoteWeight
	}
}

// tick sends the health checks that are due.
func (s *State) tick() {
	for _, t := range s.targets {
		if !t.unreachable || t.probing || !t.accepts() || s.now.Before(t.nextProbe) {
			continue
		}
		t.probing = true
		s.counters.Probes++
		s.emit(Probe{Target: t.id(), Address: t.news.Address, Path: t.pool.config.HealthPath})
	}
}

func (s *State) endProbe(ev ProbeEnded) {
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
	s.reach(t)
	s.pump(t.pool)
}

// reach takes a target back into service.
func (s *State) reach(t *target) {
	t.failures = 0
	if !t.unreachable {
		return
	}
	t.unreachable = false
	s.emit(Belief{Target: t.id(), Pool: t.pool.name, Change: BeliefReachable, Slowdown: t.speed(s.now)})
}

// blame notes a failure that is the target's own.
func (s *State) blame(t *target) {
	t.failures++
	if t.failures < failuresToUnreachable || t.unreachable {
		return
	}
	t.unreachable = true
	t.probeInterval = minProbeInterval
	t.nextProbe = s.now.Add(minProbeInterval)
	s.counters.Unreached++
	s.emit(Belief{
		Target: t.id(), Pool: t.pool.name, Change: BeliefUnreachable,
		Failures: t.failures, Slowdown: t.speed(s.now),
	})
	s.reconsider(t.pool)
}

// reconsider gives up the waiting parts of a pool that has no usable target
// left.
func (s *State) reconsider(p *pool) {
	if p.usable() {
		return
	}
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		w.phase = partIdle
		if !w.request.done {
			s.miss(w)
		}
	}
}

// untilProbe is when the first unreachable target of a pool may be back.
func (s *State) untilProbe(p *pool) time.Duration {
	soonest := maxProbeInterval
	for _, t := range p.targets {
		if t.accepts() && t.unreachable {
			soonest = min(soonest, max(minProbeInterval, t.nextProbe.Sub(s.now)))
		}
	}
	return soonest
}
