package route

// plan is what the search that is being planned has in mind for a target. It
// is kept at the target so that planning a search of many shards allocates
// nothing for it.
type plan struct {
	search   uint64
	requests int
	// position is that of the last planned request among the search's, and
	// shards is the number of its shards.
	position int
	shards   int
}

// Plan notes a request of shards that the search plans, with its position
// among the search's requests.
func (t *Target) Plan(search uint64, position, shards int) {
	if t.planned.search != search {
		t.planned = plan{search: search}
	}
	t.planned.requests++
	t.planned.position = position
	t.planned.shards = shards
}

// Join adds shards to the search's planned request and returns its position.
// It returns false when there is none, or when the target has room for another
// request.
func (t *Target) Join(search uint64, shards int) (int, bool) {
	if !t.Joins(search) {
		return 0, false
	}
	t.planned.shards += shards
	return t.planned.position, true
}

// Joins reports whether Join would add to a planned request.
func (t *Target) Joins(search uint64) bool {
	return t.plannedBy(search) > 0 && !t.hasRoomBeside(t.planned.requests)
}

// EndPlan forgets what was planned.
func (t *Target) EndPlan() {
	t.planned = plan{}
}

// plannedBy returns the number of requests that the search plans.
func (t *Target) plannedBy(search uint64) int {
	if t.planned.search != search {
		return 0
	}
	return t.planned.requests
}

// hasRoomBeside reports whether the target can take one more request beside
// those sent and planned.
func (t *Target) hasRoomBeside(planned int) bool {
	return t.InFlight+planned < t.Limit.Requests()
}
