package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	self           = Identity{"a", "a1"}
	peerB          = Identity{"b", "b1"}
	peerC          = Identity{"c", "c1"}
	testMembership = Membership{Group: "g", Members: []Member{
		{Identity: self, Voter: true}, {Identity: peerB, Voter: true}, {Identity: peerC, Voter: true},
	}}
)

// replicaWith returns replica a in term 2, with one entry of each given term
// after the bootstrap entry.
func replicaWith(terms ...uint64) *State {
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Membership: &testMembership}}
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 2, Term: term, Kind: EntryCommand})
	}
	cfg := Config{
		Self: self, Heartbeat: simHeartbeat, ElectionTimeout: simElection,
		MaxBatchEntries: 10, MaxBatchBytes: 1 << 10, MaxInflight: 4,
	}
	return New(cfg, PersistentState{HardState: HardState{Term: 2}, Entries: entries})
}

func from(id Identity, term uint64, body Body) Receive {
	return Receive{Message{Group: "g", From: id, To: self, Term: term, Body: body}}
}

func sentBodies(effects []Effect) []Body {
	var out []Body
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			out = append(out, send.Message.Body)
		}
	}
	return out
}

func lastPersistSeq(effects []Effect) uint64 {
	var seq uint64
	for _, effect := range effects {
		if write, ok := effect.(Persist); ok {
			seq = write.Seq
		}
	}
	return seq
}

func TestRepliesWaitForSync(t *testing.T) {
	cases := []struct {
		name  string
		event Event
		want  Body
	}{
		{"vote", from(peerB, 3, VoteRequest{LastIndex: 9, LastTerm: 2}), VoteReply{Granted: true}},
		{"acknowledgement", from(peerB, 2, AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []Entry{{Index: 3, Term: 2}}}), AppendReply{Match: 3, Received: 3}},
		{"snapshot", from(peerB, 2, SnapshotRequest{Snapshot: Snapshot{Meta: SnapshotMeta{Index: 9, Term: 2, Membership: testMembership}}}), AppendReply{Match: 9, Received: 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := replicaWith(2)
			effects := s.Step(c.event)
			seq := lastPersistSeq(effects)
			assert.Assert(t, seq > 0, "no Persist effect")
			assert.Equal(t, len(sentBodies(effects)), 0, "replied before the write was synced")
			assert.DeepEqual(t, sentBodies(s.Step(Persisted{Seq: seq})), []Body{c.want})
		})
	}
}

// TestHeartbeatReplyDoesNotWaitForSync guards against a leader that steps down
// because its followers' disks are slow.
func TestHeartbeatReplyDoesNotWaitForSync(t *testing.T) {
	s := replicaWith(2)
	entries := AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: []Entry{{Index: 3, Term: 2}}, Round: 1}
	seq := lastPersistSeq(s.Step(from(peerB, 2, entries)))
	beat := AppendRequest{PrevIndex: 3, PrevTerm: 2, Round: 2}
	want := AppendReply{Match: 2, Received: 3, Round: 2}
	assert.DeepEqual(t, sentBodies(s.Step(from(peerB, 2, beat))), []Body{want})
	want = AppendReply{Match: 3, Received: 3, Round: 1}
	assert.DeepEqual(t, sentBodies(s.Step(Persisted{Seq: seq})), []Body{want})
}

func TestCandidateWaitsForSyncOfOwnVote(t *testing.T) {
	s := replicaWith(2)
	s.Step(Tick{Now: 3 * simElection})
	effects := s.Step(from(peerB, 3, VoteReply{Pre: true, Granted: true}))
	assert.Equal(t, s.Role(), RoleCandidate)
	assert.Equal(t, len(sentBodies(effects)), 0)
	s.Step(from(peerB, 3, VoteReply{Granted: true}))
	assert.Equal(t, s.Role(), RoleCandidate, "became leader on its own vote before that was synced")
	s.Step(Persisted{Seq: lastPersistSeq(effects)})
	assert.Equal(t, s.Role(), RoleLeader)
}

func TestVoteCountsOnlyFromCurrentVoter(t *testing.T) {
	cases := []struct {
		name string
		from Identity
		to   Identity
		want Role
	}{
		{"voter", peerB, self, RoleLeader},
		{"earlier incarnation of a voter", Identity{"b", "b0"}, self, RoleCandidate},
		{"not a member", Identity{"x", "x1"}, self, RoleCandidate},
		{"addressed to an earlier incarnation", peerB, Identity{"a", "a0"}, RoleCandidate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := replicaWith(2)
			s.Step(Tick{Now: 3 * simElection})
			seq := lastPersistSeq(s.Step(from(peerB, 3, VoteReply{Pre: true, Granted: true})))
			s.Step(Persisted{Seq: seq})
			vote := Message{Group: "g", From: c.from, To: c.to, Term: 3, Body: VoteReply{Granted: true}}
			s.Step(Receive{vote})
			assert.Equal(t, s.Role(), c.want)
		})
	}
}

func TestAppendKeepsOrReplacesEntries(t *testing.T) {
	two := []Entry{{Index: 3, Term: 2}, {Index: 4, Term: 2}}
	cases := []struct {
		name     string
		log      []uint64
		request  AppendRequest
		wantLast uint64
		want     AppendReply
	}{
		{"new entries", []uint64{2}, AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: two}, 4, AppendReply{Match: 4, Received: 4}},
		{"delayed request truncates nothing", []uint64{2, 2, 2}, AppendRequest{PrevIndex: 2, PrevTerm: 2, Entries: two[:1]}, 4, AppendReply{Match: 3, Received: 3}},
		{"conflict is replaced", []uint64{1, 1, 1, 1}, AppendRequest{PrevIndex: 2, PrevTerm: 1, Entries: two[:1]}, 3, AppendReply{Match: 3, Received: 3}},
		{"gap is rejected", nil, AppendRequest{PrevIndex: 5, PrevTerm: 2}, 1, AppendReply{Rejected: true, PrevIndex: 5, Hint: 1}},
		{"conflicting previous entry is rejected", []uint64{1, 1, 1}, AppendRequest{PrevIndex: 4, PrevTerm: 2}, 4, AppendReply{Rejected: true, PrevIndex: 4, Hint: 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := replicaWith(c.log...)
			effects := s.Step(from(peerB, 2, c.request))
			if seq := lastPersistSeq(effects); seq > 0 {
				effects = s.Step(Persisted{Seq: seq})
			}
			assert.DeepEqual(t, sentBodies(effects), []Body{c.want})
			assert.Equal(t, s.LastIndex(), c.wantLast)
		})
	}
}

func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	cases := []struct {
		name     string
		term     uint64
		wantLast uint64
		reset    bool
	}{
		{"of the same log", 2, 4, false},
		{"of another log", 1, 3, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := replicaWith(2, 2, 2)
			meta := SnapshotMeta{Index: 3, Term: c.term, Membership: testMembership}
			effects := s.Step(from(peerB, 2, SnapshotRequest{Snapshot: Snapshot{Meta: meta}}))
			assert.Equal(t, s.LastIndex(), c.wantLast)
			assert.Equal(t, s.AppliedIndex(), uint64(3))
			write := effects[0].(Persist)
			assert.Equal(t, write.ResetLog, c.reset)
		})
	}
}

func TestMessagesOfAnotherGroupAreDropped(t *testing.T) {
	s := replicaWith(2)
	m := Message{Group: "other", From: peerB, To: self, Term: 9, Body: VoteRequest{LastIndex: 9, LastTerm: 9}}
	assert.Equal(t, len(s.Step(Receive{m})), 0)
	assert.Equal(t, s.Term(), uint64(2))
}

// TestCommittedEntryIsAppliedOnlyAfterLocalSync gives a follower an entry that
// is already committed by other replicas. Applied before the local sync, it
// could enter a snapshot that extends past the log on disk.
func TestCommittedEntryIsAppliedOnlyAfterLocalSync(t *testing.T) {
	self, leader := Identity{ID: "b", Incarnation: "1"}, Identity{ID: "a", Incarnation: "1"}
	members := Membership{Group: "g", Members: []Member{{Identity: leader, Voter: true}, {Identity: self, Voter: true}}}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &members}
	s := New(Config{Self: self, Heartbeat: 1, ElectionTimeout: 10}, PersistentState{HardState: HardState{Term: 1}, Entries: []Entry{first}})
	effects := s.Step(Receive{Message: Message{Group: "g", From: leader, To: self, Term: 1, Body: AppendRequest{
		PrevIndex: 1, PrevTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 1, Kind: EntryCommand, Data: []byte("x")}},
	}}})
	var seq uint64
	for _, effect := range effects {
		switch e := effect.(type) {
		case Apply:
			for _, entry := range e.Entries {
				assert.Assert(t, entry.Index < 2, "applied before it was synced")
			}
		case Persist:
			seq = e.Seq
		}
	}
	assert.Equal(t, s.Commit(), uint64(2))
	applied := false
	for _, effect := range s.Step(Persisted{Seq: seq}) {
		if e, ok := effect.(Apply); ok {
			applied = applied || e.Entries[len(e.Entries)-1].Index == 2
		}
	}
	assert.Assert(t, applied)
}

// TestReplicaYieldsToEarlierCandidate ends a replica's election timeout just
// after it granted a pre-vote: two candidates at once would split the votes.
//
// fault: two-at-once x restart
func TestReplicaYieldsToEarlierCandidate(t *testing.T) {
	const window = simElection / yieldDivisor
	preVote := from(peerB, 3, VoteRequest{Pre: true, LastIndex: 9, LastTerm: 2})
	s := replicaWith(2)
	s.Step(Tick{Now: simElection - 1})
	assert.DeepEqual(t, sentBodies(s.Step(preVote)), []Body{VoteReply{Pre: true, Granted: true}})
	s.Step(Tick{Now: simElection})
	assert.Equal(t, s.Role(), RoleFollower, "campaigned before the other candidate could win")
	s.Step(Tick{Now: simElection + window})
	assert.Equal(t, s.Role(), RolePreCandidate, "did not campaign after the other candidate failed to win")
}

// TestUnsuccessfulCandidateDoesNotBlockElection has one replica request
// pre-votes continually, as a replica that receives no replies does.
func TestUnsuccessfulCandidateDoesNotBlockElection(t *testing.T) {
	const window = simElection / yieldDivisor
	s := replicaWith(2)
	for now := simElection; now <= simElection+2*window; now += window / 4 {
		s.Step(Tick{Now: now - 1})
		s.Step(from(peerB, 3, VoteRequest{Pre: true, LastIndex: 9, LastTerm: 2}))
	}
	s.Step(Tick{Now: simElection + 2*window})
	assert.Equal(t, s.Role(), RolePreCandidate)
}

// TestOneOfTwoPreCandidatesProceeds has two replicas request pre-votes before
// they receive each other's requests. If neither yielded, they would split the
// votes.
//
// fault: two-at-once x restart
func TestOneOfTwoPreCandidatesProceeds(t *testing.T) {
	for _, c := range []struct {
		name  string
		self  Identity
		other Identity
		role  Role
	}{
		{"lower identity", self, peerB, RolePreCandidate},
		{"higher identity", peerB, self, RoleFollower},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := Config{Self: c.self, Heartbeat: simHeartbeat, ElectionTimeout: simElection, MaxBatchEntries: 10, MaxBatchBytes: 1 << 10, MaxInflight: 4}
			s := New(cfg, PersistentState{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Membership: &testMembership}}})
			s.Step(Tick{Now: simElection})
			assert.Equal(t, s.Role(), RolePreCandidate)
			request := Message{Group: "g", From: c.other, To: c.self, Term: 3, Body: VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}}
			assert.DeepEqual(t, sentBodies(s.Step(Receive{request})), []Body{VoteReply{Pre: true, Granted: true}})
			assert.Equal(t, s.Role(), c.role)
			// A late pre-vote must not make a candidate of the replica that
			// yielded.
			s.Step(Receive{Message{Group: "g", From: c.other, To: c.self, Term: 3, Body: VoteReply{Pre: true, Granted: true}}})
			want := RoleCandidate
			if c.role == RoleFollower {
				want = RoleFollower
			}
			assert.Equal(t, s.Role(), want)
		})
	}
}
