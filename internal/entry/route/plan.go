package route

// plan holds the requests that the search being planned will send to a target.
// It is stored in the target so that planning a search of many shards needs no
// allocation for it.
type plan struct {
	searchID uint64
	requests int
	// index is the index of the last planned request among all planned
	// requests of the search, and shards is the number of its shards.
	index  int
	shards int
}

// PlanRequest records that the search plans a request with a number of shards
// to t. The index is the request's position among all planned requests of the
// search.
func (t *Target) PlanRequest(searchID uint64, index, shards int) {
	if t.planned.searchID != searchID {
		t.planned = plan{searchID: searchID}
	}
	t.planned.requests++
	t.planned.index = index
	t.planned.shards = shards
}

// AddToPlanned adds shards to the last request that the search has planned for
// t and returns its index. It returns false if there is no such request, or if
// t has capacity for another one.
func (t *Target) AddToPlanned(searchID uint64, shards int) (int, bool) {
	if !t.CanAddToPlanned(searchID) {
		return 0, false
	}
	t.planned.shards += shards
	return t.planned.index, true
}

// CanAddToPlanned reports whether AddToPlanned would add to a planned request.
func (t *Target) CanAddToPlanned(searchID uint64) bool {
	return t.plannedRequests(searchID) > 0 && !t.hasCapacityBeyond(t.planned.requests)
}

// ClearPlan removes the planned requests.
func (t *Target) ClearPlan() {
	t.planned = plan{}
}

// plannedRequests returns the number of requests that the search has planned
// for t.
func (t *Target) plannedRequests(searchID uint64) int {
	if t.planned.searchID != searchID {
		return 0
	}
	return t.planned.requests
}

// hasCapacityBeyond reports whether t can take another request in addition to
// those in flight and the given number of planned ones.
func (t *Target) hasCapacityBeyond(planned int) bool {
	return t.InFlight+planned < t.Limit.MaxInFlight()
}
