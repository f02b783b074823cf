package watch

import (
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/wire"
)

// TestCrashReportsAndVerdictsAreSent checks that a control process gets crash reports once,
// all again after a restart, and the verdicts when it knows others.
//
// fault: crashing-request x restart
func TestCrashReportsAndVerdictsAreSent(t *testing.T) {
	var (
		mu       sync.Mutex
		log      discovery.ReportLog[quarantine.Report]
		epoch    = uint64(1)
		targets  []string
		verdicts int
		known    uint64
	)
	own := []quarantine.Verdict{{LastCrashMS: 1}}
	const ownChecksum = 7
	s := &stubControl{answer: func(args *controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range args.CrashReports {
			targets = append(targets, string(r.Target))
		}
		if len(args.Verdicts) > 0 {
			verdicts++
			known = args.VerdictsChecksum
		}
		reply.Epoch, reply.DataCentre, reply.VerdictsChecksum = epoch, "elsewhere", known
		time.Sleep(2 * time.Millisecond)
	}}
	client := wire.NewClient(nil)
	w := New(Config{
		Node: "e1", Kind: discovery.WatcherEntry, DataCentre: "d", Seeds: []string{s.serve(t)}, Client: client, Logger: zap.NewNop(),
		TableVersion: func() uint64 { return 3 }, OnReply: func(string, *controlrpc.WatchReply) {},
		CrashReports: func(number uint64) ([]quarantine.Report, uint64) {
			mu.Lock()
			defer mu.Unlock()
			return log.Since(number)
		},
		Verdicts: func() ([]quarantine.Verdict, uint64) { return own, ownChecksum },
	})
	t.Cleanup(func() {
		w.Stop()
		client.Close()
	})
	w.Start()
	await := func(wantVerdicts int, wantTargets ...string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			mu.Lock()
			defer mu.Unlock()
			if verdicts != wantVerdicts || len(targets) != len(wantTargets) {
				return poll.Continue("%d verdicts, %v", verdicts, targets)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, slices.Equal(targets, wantTargets), "%v", targets)
	}
	await(1)
	mu.Lock()
	log.Add(quarantine.Report{Target: "a"})
	log.Add(quarantine.Report{Target: "b"})
	mu.Unlock()
	await(1, "a", "b")
	mu.Lock()
	epoch, known = 2, 0
	mu.Unlock()
	await(2, "a", "b", "a", "b")
}
