package entry

import "wigeonbay/internal/api"

// enqueue lets a search wait for room at its targets, first come first served.
func (s *State) enqueue(q *search) {
	if q.queued {
		return
	}
	q.queued = true
	q.service.waiting = append(q.service.waiting, q)
}

// pump sends requests of waiting searches for which there is room now. A
// search that can no longer finish in time is given up at once instead of
// being held until its deadline.
func (s *State) pump(svc *service) {
	for len(svc.waiting) > 0 {
		q := svc.waiting[0]
		if q.done {
			svc.drop()
			continue
		}
		if s.tooLate(q) {
			svc.drop()
			s.giveUp(q, api.MissingShed)
			continue
		}
		if s.now.Before(q.notBefore) {
			return
		}
		svc.drop()
		s.dispatch(q)
		if q.queued {
			svc.moveLastToFront()
			return
		}
		s.setTimer(q)
	}
}

// drop removes the first of the waiting searches.
func (svc *service) drop() {
	svc.waiting[0].queued = false
	svc.waiting[0] = nil
	svc.waiting = svc.waiting[1:]
}

// moveLastToFront gives a search back the place that it had.
func (svc *service) moveLastToFront() {
	last := len(svc.waiting) - 1
	q := svc.waiting[last]
	copy(svc.waiting[1:], svc.waiting[:last])
	svc.waiting[0] = q
}

// tooLate reports whether a search that has sent nothing yet can't be expected
// to finish in time any more. To begin it all the same would take slots from
// searches that can.
func (s *State) tooLate(q *search) bool {
	if s.baseline() || len(q.outstanding) > 0 || len(q.accepted) > 0 {
		return false
	}
	return s.now.Add(s.execution(q.service) + answerMargin).After(q.deadline)
}
