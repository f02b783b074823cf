package forward

// States of a target in PoolStatus.
const (
	targetServing     = "serving"
	targetUnreachable = "unreachable"
	targetLeaving     = "leaving"
)

// PoolStatus is what operators see of a pool.
type PoolStatus struct {
	Name string
	// Targets counts the pool's targets by state.
	Targets map[string]int
	// Waiting is the number of parts without a connection.
	Waiting int
	// BudgetLeft is the number of further requests that may be sent now.
	BudgetLeft float64
}

// Pools returns the pools that the routing table sends requests to.
func (s *State) Pools() []PoolStatus {
	var out []PoolStatus
	for _, p := range s.pools {
		if !p.routed {
			continue
		}
		status := PoolStatus{
			Name: p.name, Waiting: len(p.waiting), Targets: map[string]int{},
			BudgetLeft: p.budget.left(s.options.Budget, s.now, s.nodeCount()),
		}
		for _, t := range p.targets {
			switch {
			case !t.accepts():
				status.Targets[targetLeaving]++
			case t.unreachable:
				status.Targets[targetUnreachable]++
			default:
				status.Targets[targetServing]++
			}
		}
		out = append(out, status)
	}
	return out
}
