package entry

import "wigeonbay/internal/api"

// enqueue appends a search to the service's FIFO queue, where it waits for
// capacity at its targets.
func (s *State) enqueue(q *search) {
	if q.queued {
		return
	}
	q.queued = true
	q.service.waiting = append(q.service.waiting, q)
}

// dispatchWaiting sends requests of waiting searches as far as targets have
// capacity. A search that can no longer finish in time is ended immediately
// instead of being held until its deadline.
func (s *State) dispatchWaiting(svc *service) {
	for len(svc.waiting) > 0 {
		q := svc.waiting[0]
		if q.done {
			svc.dequeue()
			continue
		}
		if s.wouldMissDeadline(q) {
			svc.dequeue()
			s.finishEarly(q, api.MissingShed)
			continue
		}
		if s.now.Before(q.notBefore) {
			return
		}
		svc.dequeue()
		s.dispatch(q)
		if q.queued {
			svc.moveLastToFront()
			return
		}
		s.setTimer(q)
	}
}

// dequeue removes the first waiting search.
func (svc *service) dequeue() {
	svc.waiting[0].queued = false
	svc.waiting[0] = nil
	svc.waiting = svc.waiting[1:]
}

// moveLastToFront moves the search that was just enqueued again back to the
// front of the queue.
func (svc *service) moveLastToFront() {
	last := len(svc.waiting) - 1
	q := svc.waiting[last]
	copy(svc.waiting[1:], svc.waiting[:last])
	svc.waiting[0] = q
}

// wouldMissDeadline reports whether a search without requests in flight or
// replies is expected to miss its deadline. Starting it would take slots from
// searches that can finish in time.
func (s *State) wouldMissDeadline(q *search) bool {
	if s.baseline() || len(q.outstanding) > 0 || len(q.accepted) > 0 {
		return false
	}
	return s.now.Add(s.expectedExecution(q.service) + answerMargin).After(q.deadline)
}
