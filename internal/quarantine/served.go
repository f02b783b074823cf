package quarantine

// recentlyServed is the number of requests that Served remembers.
const recentlyServed = 256

// Served remembers when the most recent requests were answered by a target. A request that
// many callers send is among them, and so isn't mistaken for one that crashes its targets.
// The zero value is empty.
type Served struct {
	atMS map[Fingerprint]int64
	ring [recentlyServed]Fingerprint
	next int
}

// Add records that a target has answered a request.
func (s *Served) Add(request Fingerprint, atMS int64) {
	if s.atMS == nil {
		s.atMS = make(map[Fingerprint]int64, recentlyServed)
	}
	if _, known := s.atMS[request]; !known {
		delete(s.atMS, s.ring[s.next])
		s.ring[s.next] = request
		s.next = (s.next + 1) % recentlyServed
	}
	s.atMS[request] = atMS
}

// LastMS returns when a target last answered a request, 0 if that isn't known.
func (s *Served) LastMS(request Fingerprint) int64 { return s.atMS[request] }
