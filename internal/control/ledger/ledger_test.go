package ledger

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wigeonbay/internal/controlrpc"
)

// init sets a fixed seed for rapid. A command-line flag overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	testRetention = time.Hour
	startMS       = int64(1_700_000_000_000)
	hourMS        = int64(3_600_000)
)

func claim(id uint64, claimant string) controlrpc.ClaimArgs {
	return controlrpc.ClaimArgs{Key: "k", KeyTimeUnixMS: startMS, Claim: id, Claimant: claimant, Service: "print", Fingerprint: 9}
}

func record(id uint64, state controlrpc.ClaimState) controlrpc.RecordArgs {
	return controlrpc.RecordArgs{Key: "k", KeyTimeUnixMS: startMS, Claim: id, State: state, Outcome: controlrpc.Outcome{Status: 200, Result: fmt.Sprint(id)}}
}

// fault: kill x submit
func TestClaimAndRecord(t *testing.T) {
	type step struct {
		after  int64 // milliseconds after startMS
		claim  *controlrpc.ClaimArgs
		record *controlrpc.RecordArgs
		want   controlrpc.ClaimVerdict
		result string
	}
	claims := func(id uint64, claimant string, want controlrpc.ClaimVerdict) step {
		args := claim(id, claimant)
		return step{claim: &args, want: want}
	}
	records := func(id uint64, state controlrpc.ClaimState) step {
		args := record(id, state)
		return step{record: &args}
	}
	at := func(after int64, s step) step {
		s.after = after
		return s
	}
	recorded := func(id uint64, result string) step {
		s := claims(id, "e2", controlrpc.ClaimRecorded)
		s.result = result
		return s
	}
	otherRequest := claim(2, "e2")
	otherRequest.Fingerprint = 10
	future := claim(1, "e1")
	future.KeyTimeUnixMS = startMS + 60_000
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{name: "claim resent after a lost reply", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), claims(1, "e1", controlrpc.ClaimGranted)}},
		{name: "held key refuses other claims and claimants", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), claims(2, "e2", controlrpc.ClaimTaken), claims(1, "e2", controlrpc.ClaimTaken)}},
		{name: "recorded outcome is returned", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimRan), recorded(2, "1"), recorded(1, "1")}},
		{name: "not run is granted to a new claim", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimNotRun),
			claims(1, "e1", controlrpc.ClaimAbandoned), claims(2, "e2", controlrpc.ClaimGranted)}},
		{name: "ran never becomes not run", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimRan), records(1, controlrpc.ClaimNotRun), recorded(2, "1")}},
		{name: "record by a claim that does not hold the key", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(2, controlrpc.ClaimRan), records(2, controlrpc.ClaimNotRun), claims(3, "e3", controlrpc.ClaimTaken)}},
		{name: "abandoned before it committed", steps: []step{
			records(1, controlrpc.ClaimNotRun), claims(1, "e1", controlrpc.ClaimAbandoned), claims(2, "e2", controlrpc.ClaimGranted)}},
		{name: "abandoned while another claim holds the key", steps: []step{
			claims(2, "e2", controlrpc.ClaimGranted), records(1, controlrpc.ClaimNotRun), records(2, controlrpc.ClaimNotRun),
			claims(1, "e1", controlrpc.ClaimAbandoned), claims(3, "e3", controlrpc.ClaimGranted)}},
		{name: "late record of an abandoned claim", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimNotRun), claims(2, "e2", controlrpc.ClaimGranted),
			records(1, controlrpc.ClaimRan), claims(3, "e3", controlrpc.ClaimTaken)}},
		{name: "different fingerprint", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), {claim: &otherRequest, want: controlrpc.ClaimMismatch}}},
		{name: "different fingerprint after not run", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimNotRun), {claim: &otherRequest, want: controlrpc.ClaimMismatch}}},
		{name: "older than the retention", steps: []step{
			at(hourMS, claims(1, "e1", controlrpc.ClaimExpired))}},
		{name: "evicted, then the clock goes back", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), records(1, controlrpc.ClaimRan),
			at(hourMS, claims(2, "e2", controlrpc.ClaimExpired)), claims(3, "e3", controlrpc.ClaimExpired)}},
		{name: "refused as expired, then the clock goes back", steps: []step{
			at(hourMS, claims(1, "e1", controlrpc.ClaimExpired)), claims(2, "e2", controlrpc.ClaimExpired)}},
		{name: "key time in the future", steps: []step{{claim: &future, want: controlrpc.ClaimExpired}}},
		{name: "held key while the clock is behind", steps: []step{
			claims(1, "e1", controlrpc.ClaimGranted), at(-60_000, claims(2, "e2", controlrpc.ClaimTaken))}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(testRetention)
			for i, step := range tc.steps {
				if step.record != nil {
					l.Record(startMS+step.after, *step.record)
					continue
				}
				verdict := l.Claim(startMS+step.after, *step.claim)
				assert.Equal(t, verdict.Verdict, step.want, "step %d", i)
				assert.Equal(t, verdict.Outcome.Result, step.result, "step %d", i)
			}
		})
	}
}

// TestClaimsGrantedAfterClockCorrection sets the leader's clock a year ahead
// for one claim and back again: later keys must be granted.
func TestClaimsGrantedAfterClockCorrection(t *testing.T) {
	l := New(testRetention)
	assert.Equal(t, l.Claim(startMS, claim(1, "e1")).Verdict, controlrpc.ClaimGranted)
	assert.Equal(t, l.Claim(startMS+365*24*hourMS, claim(2, "e2")).Verdict, controlrpc.ClaimExpired)
	later := claim(3, "e1")
	later.Key = "later"
	later.KeyTimeUnixMS = startMS + 1
	assert.Equal(t, l.Claim(startMS+1, later).Verdict, controlrpc.ClaimGranted)
}

// fault: two-at-once x submit
func TestAtMostOnceUnderRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(testRetention)
		dispatched := map[string]uint64{} // claim that may be running each key
		ran := map[string]bool{}
		abandoned := map[string]map[uint64]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now := startMS + rapid.Int64Range(-hourMS, 3*hourMS).Draw(t, "now")
			n := rapid.Int64Range(0, 2).Draw(t, "key")
			key := fmt.Sprint(n)
			id := rapid.Uint64Range(1, 5).Draw(t, "claim")
			args := controlrpc.ClaimArgs{Key: key, KeyTimeUnixMS: startMS + n*hourMS/2, Claim: id, Claimant: "e", Fingerprint: 1}
			rec := controlrpc.RecordArgs{Key: key, KeyTimeUnixMS: args.KeyTimeUnixMS, Claim: id, State: controlrpc.ClaimNotRun}
			switch rapid.SampledFrom([]string{"claim", "ran", "not run", "restart"}).Draw(t, "action") {
			case "claim":
				if l.Claim(now, args).Verdict != controlrpc.ClaimGranted {
					continue
				}
				if ran[key] || abandoned[key][id] || dispatched[key] != 0 && dispatched[key] != id {
					t.Fatalf("key %s granted to claim %d: ran %v, dispatched by %d", key, id, ran[key], dispatched[key])
				}
				dispatched[key] = id
			case "ran":
				rec.State = controlrpc.ClaimRan
				if dispatched[key] == id {
					ran[key] = true
				}
				l.Record(now, rec)
			case "not run":
				if dispatched[key] == id && !ran[key] {
					dispatched[key] = 0
				}
				if !ran[key] {
					if abandoned[key] == nil {
						abandoned[key] = map[uint64]bool{}
					}
					abandoned[key][id] = true
				}
				l.Record(now, rec)
			case "restart":
				restored := New(testRetention)
				restored.Load(l.Image())
				l = restored
			}
		}
	})
}

func benchmarkClaim(i int) controlrpc.ClaimArgs {
	return controlrpc.ClaimArgs{
		Key:           fmt.Sprintf("%013d-%022d", startMS+int64(i), i),
		KeyTimeUnixMS: startMS + int64(i),
		Claim:         uint64(i),
		Claimant:      "entry-oeste-1",
		Service:       "certificates",
		Fingerprint:   uint64(i),
	}
}

// BenchmarkClaimAndRecord runs with a constant number of keys: each claim of a
// new key evicts an old one.
func BenchmarkClaimAndRecord(b *testing.B) {
	for _, keys := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := New(time.Duration(keys) * time.Millisecond)
			i := 0
			apply := func() {
				args := benchmarkClaim(i)
				l.Claim(startMS+int64(i), args)
				l.Record(startMS+int64(i), controlrpc.RecordArgs{Key: args.Key, Claim: args.Claim, State: controlrpc.ClaimRan, Outcome: controlrpc.Outcome{Status: 200, Result: args.Key}})
				i++
			}
			for range keys {
				apply()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				apply()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "bytes/key")
		})
	}
}
