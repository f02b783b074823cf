package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

var (
	start   = time.Unix(1_790_000_000, 0)
	request = NewFingerprint("POST", "h", "/x", []byte("body"))
)

// crash returns a report of a crash of a target some time after the start, in a run that
// began a second before.
func crash(target string, after time.Duration) Report {
	return crashOfRun(target, after-time.Second, after)
}

func crashOfRun(target string, sent, crashed time.Duration) Report {
	return Report{
		Request: request, Target: api.TargetID(target), Incarnation: 1,
		SentMS: start.Add(sent).UnixMilli(), AtMS: start.Add(crashed).UnixMilli(),
	}
}

func survival(after time.Duration) Report {
	return Report{Request: request, AtMS: start.Add(after).UnixMilli(), Survived: true}
}

// addAll adds reports at a time and reports whether the request is in quarantine then.
func addAll(s *Set, now time.Time, reports ...Report) bool {
	for _, r := range reports {
		s.Add(now, r)
	}
	v, ok := s.Verdict(request)
	return ok && v.InForce(now)
}

func TestRequestsWithSeparateCrashesAreQuarantined(t *testing.T) {
	second := time.Second
	cases := []struct {
		name    string
		reports []Report
		want    bool
	}{
		{"none", nil, false},
		{"two crashes", []Report{crash("a", 0), crash("b", second)}, false},
		{"three crashes", []Report{crash("a", 0), crash("b", second), crash("c", 2*second)}, true},
		{"in another order", []Report{crash("c", 2*second), crash("a", 0), crash("b", second)}, true},
		{"three crashes at once", []Report{crash("a", 0), crash("b", 100*time.Millisecond), crash("c", 200*time.Millisecond)}, false},
		{"three crashes at once, the last two sent again", []Report{
			crash("a", 0), crashOfRun("b", 0, 50*time.Millisecond), crashOfRun("c", 60*time.Millisecond, 90*time.Millisecond),
		}, true},
		{"one crash reported three times", []Report{crash("a", 0), crash("a", second), crash("a", 2*second)}, false},
		{"answered between", []Report{crash("a", 0), crash("b", second), survival(1500 * time.Millisecond), crash("c", 2*second)}, false},
		{"answered before", []Report{survival(0), crash("a", second), crash("b", 2*second), crash("c", 3*second)}, true},
		{"answered after", []Report{crash("a", 0), crash("b", second), crash("c", 2*second), survival(3 * second)}, false},
		{"answered after, and one crash more", []Report{
			crash("a", 0), crash("b", second), crash("c", 2*second), survival(3 * second), crash("d", 4*second),
		}, false},
		{"answered after, and three crashes more", []Report{
			crash("a", 0), crash("b", second), crash("c", 2*second), survival(2500 * time.Millisecond),
			crash("d", 3*second), crash("e", 4*second), crash("f", 5*second),
		}, true},
		{"late report from before an answer", []Report{crash("a", 0), survival(3 * second), crash("b", second), crash("c", 2*second)}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, addAll(NewSet(), start.Add(5*second), tc.reports...), tc.want)
		})
	}
}

func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	s := NewSet()
	assert.Assert(t, addAll(s, start.Add(2*time.Second), crash("a", 0), crash("b", time.Second), crash("c", 2*time.Second)))
	later := start.Add(Duration + 5*time.Second)
	assert.Assert(t, !addAll(s, later))
	assert.Assert(t, addAll(s, later, crash("d", Duration+4*time.Second)))
	s.expire(later.Add(2 * memory))
	assert.Equal(t, len(s.verdicts)+len(s.histories), 0)
	assert.Equal(t, s.Checksum(), uint64(0))
}

// TestLiftedVerdictIsNotSuspicious keeps the answers to a request whose verdict was lifted
// from being reported each time.
func TestLiftedVerdictIsNotSuspicious(t *testing.T) {
	s := NewSet()
	now := start.Add(5 * time.Second)
	assert.Assert(t, !s.Suspects(request))
	addAll(s, now, crash("a", 0))
	assert.Assert(t, s.Suspects(request))
	addAll(s, now, crash("b", time.Second), crash("c", 2*time.Second))
	assert.Assert(t, s.Suspects(request))
	addAll(s, now, survival(3*time.Second))
	assert.Assert(t, !s.Suspects(request))
}

// TestVerdictsConverge exchanges verdicts between sets in random order, some of them twice.
func TestVerdictsConverge(t *testing.T) {
	random := rand.New(rand.NewPCG(24, 2))
	now := start.Add(time.Minute)
	sets := []*Set{NewSet(), NewSet(), NewSet()}
	for i := range 2 * maxRequests {
		s := sets[random.IntN(len(sets))]
		fingerprint := NewFingerprint("GET", "h", fmt.Sprint(i/2), nil)
		v := Verdict{Request: fingerprint, LastCrashMS: start.UnixMilli() + random.Int64N(50_000)}
		if i%5 == 0 {
			v.SurvivedMS = start.UnixMilli() + random.Int64N(50_000)
		}
		s.Merge(now, []Verdict{v})
	}
	for range 3 * len(sets) {
		for _, from := range sets {
			for _, to := range sets {
				verdicts := from.Verdicts()
				random.Shuffle(len(verdicts), func(i, j int) { verdicts[i], verdicts[j] = verdicts[j], verdicts[i] })
				to.Merge(now, verdicts)
			}
		}
	}
	for _, s := range sets[1:] {
		assert.Equal(t, s.Checksum(), sets[0].Checksum())
		assert.DeepEqual(t, s.Verdicts(), sets[0].Verdicts())
	}
	assert.Assert(t, len(sets[0].verdicts) <= maxRequests)
}

func TestMemoryIsBounded(t *testing.T) {
	s := NewSet()
	var served Served
	for i := range 10 * maxRequests {
		fingerprint := NewFingerprint("GET", "h", fmt.Sprint(i), nil)
		now := start.Add(time.Duration(i) * time.Millisecond)
		s.Add(now, Report{Request: fingerprint, Target: "t", AtMS: now.UnixMilli()})
		s.Merge(now, []Verdict{{Request: fingerprint, LastCrashMS: now.UnixMilli()}})
		served.Add(fingerprint, now.UnixMilli())
	}
	assert.Assert(t, len(s.histories) <= maxRequests)
	assert.Assert(t, len(s.verdicts) <= maxRequests)
	assert.Assert(t, len(served.atMS) <= recentlyServed)
}

// TestForeignClocksCauseNoLastingVerdict merges verdicts with senseless times.
func TestForeignClocksCauseNoLastingVerdict(t *testing.T) {
	s := NewSet()
	for _, at := range []int64{0, -1, start.Add(-2 * memory).UnixMilli(), start.Add(2 * memory).UnixMilli(), 1 << 62} {
		assert.Equal(t, len(s.Merge(start, []Verdict{{Request: request, LastCrashMS: at}})), 0)
	}
	assert.Equal(t, s.Checksum(), uint64(0))
}
