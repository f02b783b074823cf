package route

import (
	"slices"
	"strconv"
	"strings"

	"wigeonbay/internal/api"
)

// Group is a set of shards that have the same replicas and are always sent in
// the same request.
type Group struct {
	Shards   []api.ShardID
	Replicas []*Target
}

// Placement maps the shards of one snapshot to the replicas that hold them.
type Placement struct {
	Snapshot api.Snapshot
	// Shards is the number of shards in the snapshot's layout.
	Shards int
	Groups []Group
	// Uncovered lists the shards that no target accepting work holds.
	Uncovered []api.ShardID
	// reachable is the number of shards with a reachable replica.
	reachable int
	// warm is the number of shards with a reachable replica that is warm.
	warm int
	// slots is the minimum over all shards of the number of slots at reachable
	// replicas that hold the shard warm.
	slots int
}

// Whole reports whether each shard has a reachable replica.
func (p *Placement) Whole() bool {
	return p.reachable == p.Shards
}

// Warm reports whether each shard has a reachable replica that holds the
// snapshot warm.
func (p *Placement) Warm() bool {
	return p.warm == p.Shards
}

// Index holds the placements of one service's snapshots.
type Index struct {
	placements []*Placement
	// Newest is the newest index version that any target has announced.
	Newest uint64
}

// BuildIndex computes the placements of a service from its targets. The result
// depends on the order of targets, so callers must keep that order stable.
func BuildIndex(targets []*Target) *Index {
	index := &Index{}
	builders := map[api.Snapshot]*placementBuilder{}
	var order []api.Snapshot
	for _, t := range targets {
		for _, h := range t.Announced.Holdings {
			index.Newest = max(index.Newest, h.Snapshot.Version)
			if !t.AcceptsWork() || !t.Holds(h.Snapshot) {
				continue
			}
			b := builders[h.Snapshot]
			if b == nil {
				b = newPlacementBuilder(h)
				builders[h.Snapshot] = b
				order = append(order, h.Snapshot)
			}
			b.add(t, h)
		}
	}
	for _, s := range order {
		index.placements = append(index.placements, builders[s].build())
	}
	slices.SortFunc(index.placements, newestFirst)
	return index
}

// Pin returns the placement for a new search: the newest snapshot that is warm
// and has enough slots, else the newest whole one, else the one with the
// greatest coverage and, among equals, the newest. It returns nil if no target
// accepts work. A snapshot has enough slots if it has more than half as many as
// the warm snapshot with the most. Otherwise the first replicas to load a new
// version would get the load of all replicas.
func (x *Index) Pin() *Placement {
	maxSlots := 0
	for _, p := range x.placements {
		if p.Warm() {
			maxSlots = max(maxSlots, p.slots)
		}
	}
	for _, p := range x.placements {
		if p.Warm() && 2*p.slots > maxSlots {
			return p
		}
	}
	for _, p := range x.placements {
		if p.Whole() {
			return p
		}
	}
	var best *Placement
	for _, p := range x.placements {
		if best == nil || p.coverage() > best.coverage() {
			best = p
		}
	}
	return best
}

// Find returns the placement of snapshot s, or nil.
func (x *Index) Find(s api.Snapshot) *Placement {
	for _, p := range x.placements {
		if p.Snapshot == s {
			return p
		}
	}
	return nil
}

func (p *Placement) coverage() float64 {
	return float64(p.reachable) / float64(p.Shards)
}

func newestFirst(a, b *Placement) int {
	switch {
	case a.Snapshot.Newer(b.Snapshot):
		return -1
	case b.Snapshot.Newer(a.Snapshot):
		return 1
	default:
		return 0
	}
}

type placementBuilder struct {
	snapshot  api.Snapshot
	replicas  [][]*Target
	reachable []bool
	warm      []bool
	slots     []int
}

func newPlacementBuilder(h api.Holding) *placementBuilder {
	return &placementBuilder{
		snapshot:  h.Snapshot,
		replicas:  make([][]*Target, h.LayoutShards),
		reachable: make([]bool, h.LayoutShards),
		warm:      make([]bool, h.LayoutShards),
		slots:     make([]int, h.LayoutShards),
	}
}

func (b *placementBuilder) add(t *Target, h api.Holding) {
	for _, shard := range h.Shards {
		if int(shard) >= len(b.replicas) {
			continue
		}
		b.replicas[shard] = append(b.replicas[shard], t)
		if t.Reachable() {
			b.reachable[shard] = true
			b.warm[shard] = b.warm[shard] || h.Warm
			b.slots[shard] += warmSlots(t, h)
		}
	}
}

// build divides the shards into groups. Shards with the same replicas form at
// most as many groups as these replicas have slots, so that the groups can run
// concurrently; further groups would only wait for a slot.
func (b *placementBuilder) build() *Placement {
	p := &Placement{Snapshot: b.snapshot, Shards: len(b.replicas), slots: slices.Min(b.slots)}
	shardsByReplicas := map[string]int{}
	groups := map[groupKey]int{}
	for i, replicas := range b.replicas {
		shard := api.ShardID(i)
		if len(replicas) == 0 {
			p.Uncovered = append(p.Uncovered, shard)
			continue
		}
		p.countShard(b.reachable[i], b.warm[i])
		key := replicaKey(replicas)
		partition := shardsByReplicas[key] % max(1, totalSlots(replicas))
		shardsByReplicas[key]++
		g, ok := groups[groupKey{key, partition}]
		if !ok {
			g = len(p.Groups)
			groups[groupKey{key, partition}] = g
			p.Groups = append(p.Groups, Group{Replicas: replicas})
		}
		p.Groups[g].Shards = append(p.Groups[g].Shards, shard)
	}
	return p
}

func (p *Placement) countShard(reachable, warm bool) {
	if reachable {
		p.reachable++
	}
	if warm {
		p.warm++
	}
}

// groupKey identifies a group while a placement is built.
type groupKey struct {
	replicas  string
	partition int
}

func warmSlots(t *Target, h api.Holding) int {
	if !h.Warm {
		return 0
	}
	return t.Slots
}

func totalSlots(replicas []*Target) int {
	slots := 0
	for _, t := range replicas {
		slots += t.Slots
	}
	return slots
}

func replicaKey(replicas []*Target) string {
	var key strings.Builder
	for _, t := range replicas {
		key.WriteString(strconv.Quote(string(t.ID())))
	}
	return key.String()
}
