package driver

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/replica"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// seededGroup runs control replicas that are configured only with discovery
// seeds.
type seededGroup struct {
	*group
	seeds []string
}

func newSeededGroup(t testing.TB, ids ...string) *seededGroup {
	s := &seededGroup{group: newGroup(t, ids...)}
	for _, member := range s.members {
		s.seeds = append(s.seeds, member.Address)
	}
	return s
}

// launch starts a replica. first is false for a replica that joins or restarts.
func (s *seededGroup) launch(peer settings.Peer, first bool) *Node {
	return s.launchWith(peer, first, Options{})
}

func (s *seededGroup) launchWith(peer settings.Peer, first bool, o Options) *Node {
	o.Dial = s.network.dialer(peer.ID)
	cfg := s.group.settings(peer)
	cfg.Members = nil
	cfg.Join = !first
	cfg.Discovery.Seeds = s.seeds
	node, err := New(cfg, zap.NewNop(), o)
	assert.NilError(s.t, err)
	node.Start()
	s.nodes[peer.ID] = node
	return node
}

func (s *seededGroup) launchAll() {
	for _, peer := range s.members {
		s.launch(peer, true)
	}
}

// replaceTable commits a table through a replica, and retries until it
// succeeds.
func (s *seededGroup) replaceTable(node *Node, version uint64, packed string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := node.ReplaceTable(ctx, controlrpc.Document{Version: version, Packed: []byte(packed)})
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

func (s *seededGroup) readTable(node *Node) controlrpc.Document {
	s.t.Helper()
	var got controlrpc.Document
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		if got, err = node.CurrentTable(ctx); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	return got
}

// awaitVoters waits until exactly these replicas vote, none with an identity in
// excluded.
func (s *seededGroup) awaitVoters(excluded []replica.Identity, ids ...string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, node := range s.nodes {
			var members replica.Membership
			var committed bool
			if node.inspect(context.Background(), func(st *replica.State) { members, committed = st.Membership() }) != nil {
				continue
			}
			if committed && votersAre(members, excluded, ids) {
				return poll.Success()
			}
		}
		return poll.Continue("voters are not %v yet", ids)
	}, poll.WithTimeout(30*time.Second))
}

func votersAre(members replica.Membership, excluded []replica.Identity, ids []string) bool {
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	voters := members.Voters()
	for _, voter := range voters {
		for _, old := range excluded {
			if voter == old {
				return false
			}
		}
		if !wanted[voter.ID] {
			return false
		}
	}
	return len(voters) == len(ids)
}

func TestHighestTableVersionWins(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	s.replaceTable(s.nodes["a"], 7, "seven")
	for _, node := range s.nodes {
		assert.Equal(t, string(s.readTable(node).Packed), "seven")
		s.replaceTable(node, 7, "other content with the same version")
		s.replaceTable(node, 3, "an older table")
	}
	s.replaceTable(s.nodes["b"], 12, "twelve")
	for _, node := range s.nodes {
		got := s.readTable(node)
		assert.Equal(t, got.Version, uint64(12))
		assert.Equal(t, string(got.Packed), "twelve")
	}
}

// fault: control-alone x ticket
func TestCurrentTableFailsWithoutQuorum(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	s.replaceTable(s.nodes["a"], 1, "one")
	s.kill("b")
	s.kill("c")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.nodes["a"].CurrentTable(ctx)
	assert.Assert(t, err != nil)
}

// fault: lost-disk x repair
func TestReplicaWithLostDiskRejoins(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	s.replaceTable(s.nodes["a"], 1, "one")
	lost := s.nodes["b"].self
	s.kill("b")
	assert.NilError(t, os.RemoveAll(filepath.Join(s.folder, "b")))
	s.replaceTable(s.nodes["a"], 2, "two")
	s.launch(s.members[1], false)
	s.awaitVoters([]replica.Identity{lost}, "a", "b", "c")
	// The repaired group tolerates another loss.
	s.kill("c")
	s.replaceTable(s.nodes["b"], 3, "three")
	assert.Equal(t, string(s.readTable(s.nodes["b"]).Packed), "three")
}

// fault: lost-disk x repair
func TestLostReplicaIsReplacedByNewReplica(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	s.replaceTable(s.nodes["a"], 1, "one")
	s.kill("c")
	s.launch(settings.Peer{ID: "d", Address: reserveAddress(t), DataCentre: "dc-d"}, false)
	s.awaitVoters(nil, "a", "b", "d")
	s.replaceTable(s.nodes["d"], 2, "two")
}

// fault: kill x restart
func TestGroupRecoversAfterAllProcessesAreKilled(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	s.replaceTable(s.nodes["a"], 9, "nine")
	for _, peer := range s.members {
		s.kill(peer.ID)
	}
	for _, peer := range s.members {
		s.launch(peer, false)
	}
	assert.Equal(t, string(s.readTable(s.nodes["c"]).Packed), "nine")
}

func announcement(id string, sequence uint64, state api.TargetState) api.Announcement {
	return api.Announcement{
		Target: api.TargetID(id), Incarnation: 1, Sequence: sequence, State: state,
		Service: "s", Address: "127.0.0.1:9", DataCentre: "dc-a", Slots: 3,
	}
}

func TestAnnouncedTargetReachesAllReplicas(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	s.launchAll()
	assert.NilError(t, s.nodes["a"].Announce(context.Background(), announcement("t", 1, api.TargetReady)))
	for _, node := range s.nodes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			node.directory.mu.Lock()
			defer node.directory.mu.Unlock()
			if got, ok := node.directory.targets.Find("t"); ok && got.State == api.TargetReady {
				return poll.Success()
			}
			return poll.Continue("not known yet")
		}, poll.WithTimeout(10*time.Second))
	}
}

// TestLeavingTargetWaitsForWatcherConfirmation guards against acknowledging
// that a target leaves before every watcher has polled with a revision that
// includes it. An entry node could then still send it requests. The test polls
// in place of the watcher.
func TestLeavingTargetWaitsForWatcherConfirmation(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	assert.NilError(t, node.Announce(context.Background(), announcement("t", 1, api.TargetReady)))

	watchOnce := func(epoch, revision uint64) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		args := &controlrpc.WatchArgs{Node: "entry", Kind: discovery.WatcherEntry, DataCentre: "dc-a", Epoch: epoch, Revision: revision}
		node.watchLocal(context.Background(), args, 0, &reply)
		return reply
	}
	known := watchOnce(0, 0)
	assert.Equal(t, len(known.Targets), 1)
	assert.DeepEqual(t, known.EntryNodes, map[string]int{"dc-a": 1})

	err := node.Announce(context.Background(), announcement("t", 2, api.TargetDraining))
	assert.ErrorIs(t, err, errUnconfirmed)

	done := make(chan error, 1)
	go func() { done <- node.Depart(context.Background(), "t", 0) }()
	update := watchOnce(known.Epoch, known.Revision)
	watchOnce(update.Epoch, update.Revision)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Each poll confirms the revision of the previous reply.
		update = watchOnce(update.Epoch, update.Revision)
		select {
		case err := <-done:
			assert.NilError(t, err)
			return poll.Success()
		default:
			return poll.Continue("not acknowledged yet")
		}
	}, poll.WithTimeout(5*time.Second))
}

// TestCountOfEntryNodesIsPartialAfterAStart has entry nodes poll a process that has just
// started, and the same process later.
func TestCountOfEntryNodesIsPartialAfterAStart(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	poll := func(name string) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		args := &controlrpc.WatchArgs{Node: name, Kind: discovery.WatcherEntry, DataCentre: "dc-a"}
		node.watchLocal(context.Background(), args, 0, &reply)
		return reply
	}
	first := poll("e1")
	assert.DeepEqual(t, first.EntryNodes, map[string]int{"dc-a": 1})
	assert.Assert(t, first.EntryNodesPartial, "e2 may not have polled yet")
	node.directory.started = node.directory.started.Add(-entryNodesSettleTime)
	assert.DeepEqual(t, poll("e2").EntryNodes, map[string]int{"dc-a": 2})
	assert.Assert(t, !poll("e2").EntryNodesPartial)
}

// TestAsideWatcherGetsChecksum checks what a reply contains: changed records
// for most watchers, only a checksum with Aside set unless offers or records
// are requested, and the peers only if they changed since the last reply.
func TestAsideWatcherGetsChecksum(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	assert.NilError(t, node.Announce(context.Background(), announcement("t", 1, api.TargetReady)))
	watch := func(args controlrpc.WatchArgs) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		node.watchLocal(context.Background(), &args, 0, &reply)
		return reply
	}
	far := controlrpc.WatchArgs{Node: "far", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true}
	asking, lacking := far, far
	asking.WantOffers = true
	lacking.WantOffers, lacking.Lacks = true, []api.TargetID{"t"}
	for _, c := range []struct {
		name    string
		args    controlrpc.WatchArgs
		targets int
		offers  int
	}{
		{"same data centre", controlrpc.WatchArgs{Node: "near", Kind: discovery.WatcherEntry, DataCentre: "dc-a"}, 1, 0},
		{"control process in another data centre", controlrpc.WatchArgs{Node: "c", Kind: discovery.WatcherControl, DataCentre: "dc-b"}, 1, 0},
		{"another data centre, Aside not set", controlrpc.WatchArgs{Node: "far", Kind: discovery.WatcherEntry, DataCentre: "dc-b"}, 1, 0},
		{"Aside set", far, 0, 0},
		{"Aside set, wants offers", asking, 0, 1},
		{"Aside set, lacks the target", lacking, 1, 0},
	} {
		reply := watch(c.args)
		assert.Equal(t, len(reply.Targets), c.targets, c.name)
		assert.Equal(t, len(reply.Offers), c.offers, c.name)
		assert.Equal(t, reply.RecordsChecksum != 0, c.args.Aside, c.name)
		assert.Equal(t, reply.Revision, uint64(1), c.name)
	}

	first := watch(far)
	assert.Assert(t, len(first.Controls) > 0 && first.EntryNodes["dc-b"] == 1)
	far.Epoch, far.Revision, far.PeersChecksum = first.Epoch, first.Revision, first.PeersChecksum
	again := watch(far)
	assert.Equal(t, again.PeersChecksum, first.PeersChecksum)
	assert.Equal(t, len(again.Controls)+len(again.EntryNodes)+len(again.Offers), 0)
	watch(controlrpc.WatchArgs{Node: "another", Kind: discovery.WatcherEntry, DataCentre: "dc-b"})
	assert.Equal(t, watch(far).EntryNodes["dc-b"], 2)
	// A restarted process at the same address does not know what the previous
	// one sent.
	far.Epoch++
	assert.Assert(t, len(watch(far).Controls) > 0)
}

// TestAsideWatcherIsWokenByLeavingTarget checks that a new target does not end
// a held poll with Aside set, and that a leaving target does, since it waits
// for the watcher's confirmation.
func TestAsideWatcherIsWokenByLeavingTarget(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	assert.NilError(t, node.Announce(context.Background(), announcement("t", 1, api.TargetReady)))
	var reply controlrpc.WatchReply
	args := &controlrpc.WatchArgs{Node: "far", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true}
	node.watchLocal(context.Background(), args, 0, &reply)
	args.Epoch, args.Revision = reply.Epoch, reply.Revision
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.watchLocal(context.Background(), args, time.Minute, &reply)
	}()
	other := announcement("u", 1, api.TargetReady)
	other.Address = "10.0.0.99:80"
	assert.NilError(t, node.Announce(context.Background(), other))
	select {
	case <-done:
		t.Fatal("woken by a target that the closer control process reports")
	case <-time.After(2 * asideCoalesceDelay):
	}
	_ = node.Announce(context.Background(), announcement("t", 2, api.TargetDraining))
	<-done
	assert.Equal(t, reply.Revision, uint64(3))
}

// TestAsideWatcherWithoutTableIsAnsweredAtOnce guards against an entry node
// that stays without a routing table because it waits for one from a closer
// control process. With Aside set, it is told of a table at once; a node that
// has a table isn't woken by the next one.
//
// fault: lost-disk x forward
func TestAsideWatcherWithoutTableIsAnsweredAtOnce(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	holdPoll := func(version uint64) (*controlrpc.WatchReply, chan struct{}) {
		var reply controlrpc.WatchReply
		args := &controlrpc.WatchArgs{
			Node: fmt.Sprint("far", version), Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true, TableVersion: version,
		}
		node.watchLocal(context.Background(), args, 0, &reply)
		args.Epoch, args.Revision = reply.Epoch, reply.Revision
		done := make(chan struct{})
		go func() {
			defer close(done)
			node.watchLocal(context.Background(), args, time.Minute, &reply)
		}()
		return &reply, done
	}
	// The node holds version 3, which this process knows.
	node.recordTable(&controlrpc.WatchArgs{Table: &controlrpc.Document{Version: 3}})
	_, served := holdPoll(3)
	empty := &controlrpc.WatchArgs{Node: "empty", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true}
	var reply controlrpc.WatchReply
	node.watchLocal(context.Background(), empty, time.Minute, &reply)
	assert.Assert(t, reply.TableVersion == 3 && reply.Table == nil, "the reply has the version, but not the table")
	s.replaceTable(node, 7, "seven")
	select {
	case <-served:
		t.Fatal("woken by a table that the closer control process sends")
	case <-time.After(2 * asideCoalesceDelay):
	}
}

// TestRequestedTableIsSentAtOnce guards against a late change at nodes whose closer control process has a stalled disk.
//
// fault: stuck-disk x forward
func TestRequestedTableIsSentAtOnce(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	s.replaceTable(node, 7, "seven")
	var reply controlrpc.WatchReply
	args := &controlrpc.WatchArgs{Node: "far", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true, TableVersion: 3}
	node.watchLocal(context.Background(), args, 0, &reply)
	assert.Assert(t, reply.TableVersion == 7 && reply.Table == nil)
	args.Epoch, args.Revision, args.Offered = reply.Epoch, reply.Revision, reply.TableVersion
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.watchLocal(context.Background(), args, time.Minute, &reply)
	}()
	select {
	case <-done:
		assert.Equal(t, reply.Table.Version, uint64(7))
	case <-time.After(20 * time.Second):
		t.Fatal("the poll is held")
	}
}

// TestRestartedProcessWaitsForWatchersToReturn guards against a restarted
// control process that acknowledges a leaving target before the entry nodes
// that polled it have returned. They would still send requests to the target.
//
// fault: kill x drain
func TestRestartedProcessWaitsForWatchersToReturn(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	began := time.Now()
	done := make(chan error, 1)
	go func() {
		err := errUnconfirmed
		for errors.Is(err, errUnconfirmed) {
			err = node.Announce(context.Background(), announcement("t", 2, api.TargetDraining))
		}
		done <- err
	}()
	select {
	case <-done:
		t.Fatalf("acknowledged after %v, before any watcher has polled", time.Since(began))
	case <-time.After(watcherReturnTime - 300*time.Millisecond):
	}
	var reply controlrpc.WatchReply
	args := &controlrpc.WatchArgs{Node: "entry", Kind: discovery.WatcherEntry, DataCentre: "dc-a"}
	node.watchLocal(context.Background(), args, 0, &reply)
	assert.Equal(t, reply.Targets[0].State, api.TargetDraining)
	select {
	case <-done:
		t.Fatal("acknowledged before the node confirmed it")
	case <-time.After(watcherReturnTime):
	}
	args.Epoch, args.Revision = reply.Epoch, reply.Revision
	node.watchLocal(context.Background(), args, 0, &reply)
	assert.NilError(t, <-done)
}

// TestRestartedProcessLearnsOfWithdrawnTargets lets an entry node report to a control
// process without records that a target leaves. A delayed announcement must not bring the
// target back, and a report can't make one ready.
//
// fault: kill x announce
func TestRestartedProcessLearnsOfWithdrawnTargets(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	other := announcement("other", 7, api.TargetReady)
	other.Address = "127.0.0.1:10"
	args := &controlrpc.WatchArgs{
		Node: "entry", Kind: discovery.WatcherEntry, DataCentre: "dc-a",
		Withdrawals: []api.Announcement{announcement("t", api.FinalSequence, api.TargetDraining), other},
	}
	var reply controlrpc.WatchReply
	node.watchLocal(context.Background(), args, 0, &reply)
	assert.NilError(t, node.Announce(context.Background(), announcement("t", 3, api.TargetReady)))
	node.directory.mu.Lock()
	defer node.directory.mu.Unlock()
	got, known := node.directory.targets.Find("t")
	assert.Assert(t, known)
	assert.Equal(t, got.State, api.TargetDraining)
	_, known = node.directory.targets.Find("other")
	assert.Assert(t, !known)
}

// TestCrashReportsOfSeveralNodesBecomeAVerdict has three entry nodes report a crash each,
// and checks who is told, also by a process that has lost its memory.
//
// fault: crashing-request x forward
func TestCrashReportsOfSeveralNodesBecomeAVerdict(t *testing.T) {
	s := newSeededGroup(t, "a", "b")
	node, restarted := s.launch(s.members[0], true), s.launch(s.members[1], true)
	request := quarantine.NewFingerprint("POST", "h", "/x", nil)
	now := time.Now()
	watch := func(at *Node, args controlrpc.WatchArgs) controlrpc.WatchReply {
		args.DataCentre = "dc-a"
		var reply controlrpc.WatchReply
		at.watchLocal(context.Background(), &args, 0, &reply)
		return reply
	}
	for i, name := range []string{"e1", "e2", "e3"} {
		reply := watch(node, controlrpc.WatchArgs{Node: name, Kind: discovery.WatcherEntry})
		assert.Equal(t, len(reply.Verdicts), 0)
		crashed := now.Add(time.Duration(i-3) * time.Second).UnixMilli()
		watch(node, controlrpc.WatchArgs{Node: name, Kind: discovery.WatcherEntry, CrashReports: []quarantine.Report{
			{Request: request, Target: api.TargetID("t" + name), Incarnation: 1, SentMS: crashed - 10, AtMS: crashed},
		}})
	}
	told := watch(node, controlrpc.WatchArgs{Node: "e4", Kind: discovery.WatcherEntry})
	assert.Equal(t, len(told.Verdicts), 1)
	assert.Equal(t, told.Verdicts[0].Request, request)
	again := watch(node, controlrpc.WatchArgs{Node: "e4", Kind: discovery.WatcherEntry, VerdictsChecksum: told.VerdictsChecksum})
	assert.Equal(t, len(again.Verdicts), 0, "a watcher that knows the verdicts isn't told again")
	control := watch(node, controlrpc.WatchArgs{Node: "c", Kind: discovery.WatcherControl})
	assert.Equal(t, len(control.Verdicts), 0)

	assert.Equal(t, watch(restarted, controlrpc.WatchArgs{Node: "e5", Kind: discovery.WatcherEntry}).VerdictsChecksum, uint64(0))
	watch(restarted, controlrpc.WatchArgs{Node: "e4", Kind: discovery.WatcherEntry, Verdicts: told.Verdicts, VerdictsChecksum: told.VerdictsChecksum})
	learned := watch(restarted, controlrpc.WatchArgs{Node: "e5", Kind: discovery.WatcherEntry})
	assert.DeepEqual(t, learned.Verdicts, told.Verdicts)
}

// TestWatcherTableReachesStartingNode starts one of three replicas, so that it
// has no quorum, as if disconnected, and lacks the newest table. An entry node that starts there must get the table
// that its neighbours use, and the replica must not count it as confirmed or
// applied.
//
// fault: cut-data-centre x restart
func TestWatcherTableReachesStartingNode(t *testing.T) {
	s := newSeededGroup(t, "a", "b", "c")
	isolated := s.launch(s.members[0], true)
	pollOnce := func(node string, version uint64, table *controlrpc.Document) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		args := &controlrpc.WatchArgs{Node: node, Kind: discovery.WatcherEntry, DataCentre: "dc-a", TableVersion: version, Table: table}
		isolated.watchLocal(context.Background(), args, 0, &reply)
		return reply
	}
	assert.Assert(t, pollOnce("old", 5, nil).WantTable)
	assert.Assert(t, !pollOnce("old", 5, &controlrpc.Document{Version: 5, Packed: []byte("five")}).WantTable)
	var started controlrpc.WatchReply
	isolated.watchLocal(context.Background(), &controlrpc.WatchArgs{
		Node: "elsewhere", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true,
	}, 0, &started)
	assert.Assert(t, started.Table == nil && started.TableVersion == 5, "with Aside set, the first reply has only the version")
	isolated.watchLocal(context.Background(), &controlrpc.WatchArgs{
		Node: "elsewhere", Kind: discovery.WatcherEntry, DataCentre: "dc-b", Aside: true, Offered: 5,
	}, 0, &started)
	assert.Equal(t, started.Table.Version, uint64(5))
	started = pollOnce("new", 0, nil)
	assert.Equal(t, started.Table.Version, uint64(5))
	assert.Equal(t, started.QuorumAgeMS, int64(-1), "the table must not count as confirmed")
	assert.Equal(t, isolated.appliedTable().Version, uint64(0))
}

// TestEntryNodesArePeersOfEachOther has entry nodes poll a control process, one of which
// then takes no requests of others any more.
func TestEntryNodesArePeersOfEachOther(t *testing.T) {
	s := newSeededGroup(t, "c1")
	s.launchAll()
	node := s.nodes["c1"]
	pollAs := func(name string, change func(*controlrpc.WatchArgs)) *controlrpc.WatchReply {
		args := &controlrpc.WatchArgs{Node: name, Kind: discovery.WatcherEntry, DataCentre: "oeste", Epoch: node.directory.epoch}
		change(args)
		var reply controlrpc.WatchReply
		node.watchLocal(context.Background(), args, 0, &reply)
		return &reply
	}
	nothing := func(*controlrpc.WatchArgs) {}
	tell := func(address string) func(*controlrpc.WatchArgs) {
		return func(args *controlrpc.WatchArgs) { args.TellsPeerAddress, args.PeerAddress = true, address }
	}
	want := func(args *controlrpc.WatchArgs) { args.WantPeers = true }
	assert.Assert(t, pollAs("e1", nothing).WantPeerAddress)
	assert.Assert(t, !pollAs("e1", tell("e1:1")).WantPeerAddress)
	pollAs("e2", tell("e2:1"))
	assert.Assert(t, pollAs("e1", nothing).EntryPeers == nil)
	assert.DeepEqual(t, pollAs("e1", want).EntryPeers, []discovery.EntryPeer{{Node: "e2", DataCentre: "oeste", Address: "e2:1"}})
	pollAs("e2", nothing)
	assert.Equal(t, len(pollAs("e1", want).EntryPeers), 1, "the address holds until it changes")
	pollAs("e2", tell(""))
	assert.Equal(t, len(pollAs("e1", want).EntryPeers), 0)
}

// TestManyRecordsComeInSeveralReplies guards against a list of targets that is larger than a
// message between processes may be: its readers would stop following it.
//
// fault: other-writer x announce
func TestManyRecordsComeInSeveralReplies(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	const records = 3*maxReplyRecords + 1
	for i := range records {
		a := announcement(fmt.Sprintf("%0128d", i), 1, api.TargetReady)
		a.Service, a.DataCentre = strings.Repeat("s", 128), strings.Repeat("d", 128)
		node.directory.targets.Merge(a)
	}
	known := discovery.NewTargets()
	args := controlrpc.WatchArgs{Node: "entry", Kind: discovery.WatcherEntry, DataCentre: "dc-a"}
	for poll := 0; poll < 5 && known.Len() < records; poll++ {
		var reply controlrpc.WatchReply
		node.watchLocal(context.Background(), &args, time.Second, &reply)
		var encoded bytes.Buffer
		assert.NilError(t, gob.NewEncoder(&encoded).Encode(&reply))
		assert.Assert(t, encoded.Len() < wire.MaxMessageBytes/2, "%d bytes", encoded.Len())
		for _, a := range reply.Targets {
			known.Merge(a)
		}
		args.Epoch, args.Revision = reply.Epoch, reply.Revision
	}
	assert.Equal(t, known.Len(), records)
	assert.Equal(t, known.Checksum(), node.directory.targets.Checksum())
	assert.Equal(t, args.Revision, node.directory.targets.Revision())
}
