package machine

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

const startMS = int64(1_700_000_000_000)

func serviceTicket(number uint64, name string) *api.Ticket {
	return &api.Ticket{Number: number, Operator: "ana", Services: []api.Service{{Name: name, Prefer: api.PreferCoverage}}}
}

func claimArgs(i int) *controlrpc.ClaimArgs {
	return &controlrpc.ClaimArgs{Key: fmt.Sprintf("key-%d", i), KeyTimeUnixMS: startMS, Claim: uint64(i + 1), Claimant: "e1", Fingerprint: 7}
}

// commands returns n rounds of no-op, ticket, claim and record commands.
func commands(n int) []Command {
	var all []Command
	for i := range n {
		now := startMS + int64(i)
		all = append(all,
			Command{Kind: KindNoop, NowUnixMS: now},
			Command{Kind: KindTicket, NowUnixMS: now, Ticket: serviceTicket(uint64(i/2+1), fmt.Sprintf("service-%d", i%5))},
			Command{Kind: KindClaim, NowUnixMS: now, Claim: claimArgs(i % 11)},
			Command{Kind: KindRecord, NowUnixMS: now, Record: &controlrpc.RecordArgs{
				Key: fmt.Sprintf("key-%d", i%7), KeyTimeUnixMS: startMS, Claim: uint64(i%7 + 1), State: controlrpc.ClaimRan,
				Outcome: controlrpc.Outcome{Status: 200, Result: "printed"},
			}})
	}
	return all
}

// fault: restart-after-changes x restart
func TestSnapshotPlusLogEqualsFullReplay(t *testing.T) {
	original := New(time.Hour)
	restored := New(time.Hour)
	all := commands(200)
	for i, c := range all {
		index := uint64(i + 1)
		want := original.Apply(index, c)
		if i == len(all)/2 {
			snapshot, err := original.Snapshot()
			assert.NilError(t, err)
			assert.NilError(t, restored.Restore(snapshot))
		}
		if i > len(all)/2 {
			assert.DeepEqual(t, restored.Apply(index, c), want)
		}
	}
	a, err := original.Snapshot()
	assert.NilError(t, err)
	b, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Check(t, bytes.Equal(a, b))
	assert.Equal(t, restored.Applied(), uint64(len(all)))
	assert.DeepEqual(t, restored.Delta(0), original.Delta(0))
	assert.DeepEqual(t, restored.History(nil), original.History(nil))
	assert.Equal(t, restored.Claims(), 11)
}

func TestRestoreRejectsInvalidData(t *testing.T) {
	m := New(time.Hour)
	m.Apply(1, Command{Kind: KindTicket, NowUnixMS: startMS, Ticket: serviceTicket(1, "a")})
	before, err := m.Snapshot()
	assert.NilError(t, err)
	newer := bytes.Replace(before, []byte("Format\x01"), []byte("Format\x02"), 1)
	assert.Check(t, !bytes.Equal(before, newer))
	for name, encoded := range map[string][]byte{"newer format": newer, "truncated": before[:len(before)/2], "empty": nil} {
		t.Run(name, func(t *testing.T) {
			assert.Check(t, m.Restore(encoded) != nil)
			after, err := m.Snapshot()
			assert.NilError(t, err)
			assert.Check(t, bytes.Equal(before, after))
		})
	}
}

func TestEncodeDecode(t *testing.T) {
	for _, c := range commands(2) {
		encoded, err := Encode(c)
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, c)
	}
	args := claimArgs(1)
	args.Envelope = wire.Envelope{TimeoutMS: 5, Traceparent: "00-x"}
	encoded, err := Encode(Command{Kind: KindClaim, Claim: args})
	assert.NilError(t, err)
	decoded, err := Decode(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Claim, claimArgs(1))
	assert.Equal(t, args.Envelope.TimeoutMS, int64(5))

	for _, bad := range []Command{{Kind: 9}, {Kind: KindTicket}, {Kind: KindNoop, Claim: claimArgs(1)}} {
		_, err := Encode(bad)
		assert.Check(t, cmp.ErrorContains(err, "kind"))
	}
	_, err = Decode([]byte("not a command"))
	assert.Check(t, err != nil)
}

func TestCheckLimits(t *testing.T) {
	m := New(time.Hour)
	assert.NilError(t, m.CheckTicket(*serviceTicket(1, "a")))
	large := api.Ticket{Number: 1, Operator: "ana"}
	for i := range 4000 {
		large.Searchers = append(large.Searchers, api.Searcher{Name: strings.Repeat("x", 100) + fmt.Sprint(i), Service: "a"})
	}
	assert.Check(t, cmp.ErrorContains(m.CheckTicket(large), "over the limit"))
	assert.NilError(t, m.CheckClaim(*claimArgs(1)))
	assert.Check(t, m.CheckClaim(controlrpc.ClaimArgs{Key: "k", Claimant: "e"}) != nil)
	record := controlrpc.RecordArgs{Key: "k", State: controlrpc.ClaimRan}
	assert.NilError(t, m.CheckRecord(record))
	record.Outcome.Result = strings.Repeat("x", 1<<20)
	assert.Check(t, cmp.ErrorContains(m.CheckRecord(record), "over the limit"))
}

func TestIndexAppliedTwicePanics(t *testing.T) {
	m := New(time.Hour)
	m.Apply(3, Command{})
	defer func() { assert.Check(t, recover() != nil) }()
	m.Apply(3, Command{})
}

// TestApplyAfterEncodingMatchesDirectApply guards against results that depend
// on whether a command was decoded from the log or applied as proposed.
func TestApplyAfterEncodingMatchesDirectApply(t *testing.T) {
	direct, replayed := New(time.Hour), New(time.Hour)
	for i, c := range commands(50) {
		encoded, err := Encode(c)
		assert.NilError(t, err)
		decoded, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, replayed.Apply(uint64(i+1), decoded), direct.Apply(uint64(i+1), c))
	}
}

func BenchmarkApplyClaim(b *testing.B) {
	m := New(100 * time.Second)
	index := uint64(0)
	bytesEncoded := 0
	for b.Loop() {
		index++
		now := startMS + int64(index)
		encoded, err := Encode(Command{Kind: KindClaim, NowUnixMS: now, Claim: &controlrpc.ClaimArgs{
			Key: fmt.Sprintf("%013d-%022d", now, index), KeyTimeUnixMS: now, Claim: index, Claimant: "entry-oeste-1", Service: "certificates", Fingerprint: index,
		}})
		assert.NilError(b, err)
		bytesEncoded = len(encoded)
		c, err := Decode(encoded)
		assert.NilError(b, err)
		m.Apply(index, c)
	}
	b.ReportMetric(float64(bytesEncoded), "bytes/claim")
}
