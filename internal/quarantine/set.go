package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"wigeonbay/internal/api"
)

const (
	// maxCrashes is the number of separate crashes from which a request is in quarantine.
	// One or two may have another cause: whatever a target was running when it crashed is
	// reported.
	maxCrashes = 3
	// crashSeparation is the time within which crashes count as one, unless the request was
	// sent again in between: a power failure ends many targets together.
	crashSeparation = 250 * time.Millisecond
	// Duration is how long a request stays in quarantine after its last crash. Then it may
	// run again, and the next crash puts it back at once.
	Duration = 10 * time.Minute
	// memory is how long crashes and verdicts are kept.
	memory = time.Hour
	// maxRequests limits the requests with crashes and the verdicts that are kept, each.
	maxRequests = 256
)

// Report tells that a target crashed while it ran a request or, with Survived set, that a
// target has answered the request.
type Report struct {
	Request     Fingerprint
	Target      api.TargetID
	Incarnation uint64
	// SentMS and AtMS are when the request was sent to the target and when it crashed or
	// answered, as Unix times in milliseconds by the clock of the node that reports.
	SentMS   int64
	AtMS     int64
	Survived bool
}

// Verdict tells that a request has crashed several targets. It is lifted once a target has
// answered the request later.
type Verdict struct {
	Request     Fingerprint
	LastCrashMS int64
	// SurvivedMS is when a target last answered the request, 0 for never.
	SurvivedMS int64
}

// InForce reports whether the request is in quarantine at a time.
func (v Verdict) InForce(now time.Time) bool {
	return !v.Lifted() && now.Before(v.Until())
}

// Lifted reports whether a target has answered the request since its last crash.
func (v Verdict) Lifted() bool { return v.SurvivedMS >= v.LastCrashMS }

// Until returns when the quarantine ends unless the verdict is lifted before.
func (v Verdict) Until() time.Time { return time.UnixMilli(v.LastCrashMS).Add(Duration) }

// Set holds reports and the verdicts that follow from them. Verdicts are exchanged between
// processes: merging them in any order and any number of times gives the same result. It is
// not safe for concurrent use.
type Set struct {
	histories map[Fingerprint]*history
	verdicts  map[Fingerprint]Verdict
	checksum  uint64
}

// history holds the crashes of a request since a target last answered it.
type history struct {
	crashes    map[incarnation]run
	survivedMS int64
	// newestMS is the time of the newest report.
	newestMS int64
}

// run is a run of a request that ended with a crash of its target.
type run struct{ sentMS, crashedMS int64 }

type incarnation struct {
	target api.TargetID
	number uint64
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{histories: map[Fingerprint]*history{}, verdicts: map[Fingerprint]Verdict{}}
}

// Add adds a report. It returns the verdict on the request if the report changes it.
func (s *Set) Add(now time.Time, r Report) (changed Verdict, ok bool) {
	s.expire(now)
	if r.AtMS < now.Add(-memory).UnixMilli() || r.AtMS > now.Add(memory).UnixMilli() {
		return Verdict{}, false
	}
	h := s.histories[r.Request]
	if h == nil {
		h = &history{crashes: map[incarnation]run{}}
		s.histories[r.Request] = h
		s.dropOldestHistory(r.Request)
	}
	h.newestMS = max(h.newestMS, r.AtMS)
	verdict, judged := s.verdicts[r.Request]
	if r.Survived {
		h.survive(r.AtMS)
		if !judged || r.AtMS <= verdict.SurvivedMS {
			return Verdict{}, false
		}
		verdict.SurvivedMS = r.AtMS
		return verdict, s.setVerdict(verdict)
	}
	if r.AtMS <= max(h.survivedMS, verdict.SurvivedMS) {
		return Verdict{}, false
	}
	key := incarnation{r.Target, r.Incarnation}
	if known, reported := h.crashes[key]; !reported || r.AtMS < known.crashedMS {
		h.crashes[key] = run{r.SentMS, r.AtMS}
	}
	condemned := judged && !verdict.Lifted()
	if !condemned && h.countCrashes() < maxCrashes || r.AtMS <= verdict.LastCrashMS {
		return Verdict{}, false
	}
	verdict.Request, verdict.LastCrashMS = r.Request, r.AtMS
	return verdict, s.setVerdict(verdict)
}

// survive forgets the crashes up to a time.
func (h *history) survive(atMS int64) {
	h.survivedMS = max(h.survivedMS, atMS)
	for key, ended := range h.crashes {
		if ended.crashedMS <= h.survivedMS {
			delete(h.crashes, key)
		}
	}
}

// countCrashes returns the number of crashes that are crashSeparation or more apart or
// followed a further send.
func (h *history) countCrashes() int {
	runs := slices.SortedFunc(maps.Values(h.crashes), func(a, b run) int {
		return cmp.Compare(a.crashedMS, b.crashedMS)
	})
	count, last := 0, int64(0)
	for _, r := range runs {
		if count == 0 || r.sentMS >= last || r.crashedMS-last >= crashSeparation.Milliseconds() {
			count, last = count+1, r.crashedMS
		}
	}
	return count
}

// Merge adds verdicts of another process and returns those that have changed.
func (s *Set) Merge(now time.Time, verdicts []Verdict) []Verdict {
	s.expire(now)
	var changed []Verdict
	for _, v := range verdicts {
		if v.LastCrashMS < now.Add(-memory).UnixMilli() || v.LastCrashMS > now.Add(memory).UnixMilli() {
			continue
		}
		known := s.verdicts[v.Request]
		merged := Verdict{v.Request, max(v.LastCrashMS, known.LastCrashMS), max(v.SurvivedMS, known.SurvivedMS)}
		if merged != known && s.setVerdict(merged) {
			changed = append(changed, merged)
		}
	}
	return changed
}

// setVerdict stores a verdict and reports whether there was room for it: if there are too
// many, those with the oldest crash are dropped.
func (s *Set) setVerdict(v Verdict) bool {
	s.removeVerdict(v.Request)
	s.verdicts[v.Request] = v
	s.checksum ^= v.hash()
	if len(s.verdicts) > maxRequests {
		oldest := v
		for _, other := range s.verdicts {
			if other.LastCrashMS < oldest.LastCrashMS || other.LastCrashMS == oldest.LastCrashMS && other.hash() < oldest.hash() {
				oldest = other
			}
		}
		s.removeVerdict(oldest.Request)
		return oldest != v
	}
	return true
}

func (s *Set) removeVerdict(request Fingerprint) {
	if known, ok := s.verdicts[request]; ok {
		s.checksum ^= known.hash()
		delete(s.verdicts, request)
	}
}

func (v Verdict) hash() uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(v.Request[:])
	_ = binary.Write(sum, binary.LittleEndian, [2]int64{v.LastCrashMS, v.SurvivedMS})
	return sum.Sum64()
}

// dropOldestHistory drops the request whose newest report is the oldest, other than the
// given one, if there are too many.
func (s *Set) dropOldestHistory(keep Fingerprint) {
	if len(s.histories) <= maxRequests {
		return
	}
	var oldest Fingerprint
	oldestMS := int64(math.MaxInt64)
	for request, h := range s.histories {
		if request != keep && h.newestMS < oldestMS {
			oldest, oldestMS = request, h.newestMS
		}
	}
	delete(s.histories, oldest)
}

// expire drops what is older than memory.
func (s *Set) expire(now time.Time) {
	oldestMS := now.Add(-memory).UnixMilli()
	for request, h := range s.histories {
		if h.newestMS < oldestMS {
			delete(s.histories, request)
		}
	}
	for request, v := range s.verdicts {
		if v.LastCrashMS < oldestMS {
			s.removeVerdict(request)
		}
	}
}

// Suspects reports whether the set holds a crash of a request that no target has answered
// since, or a verdict on it that isn't lifted.
func (s *Set) Suspects(request Fingerprint) bool {
	h := s.histories[request]
	verdict, judged := s.verdicts[request]
	return judged && !verdict.Lifted() || h != nil && len(h.crashes) > 0
}

// Verdict returns the verdict on a request; ok is false if there is none.
func (s *Set) Verdict(request Fingerprint) (v Verdict, ok bool) {
	v, ok = s.verdicts[request]
	return v, ok
}

// Verdicts returns all verdicts, sorted by the time of the last crash.
func (s *Set) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(s.verdicts))
	for _, v := range s.verdicts {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.LastCrashMS, b.LastCrashMS), cmp.Compare(a.hash(), b.hash()))
	})
	return out
}

// Checksum returns a checksum of the verdicts, 0 for none.
func (s *Set) Checksum() uint64 { return s.checksum }
