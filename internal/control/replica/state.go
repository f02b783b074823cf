package replica

import "time"

// State holds the protocol state of one replica. It is not safe for concurrent
// use; only the driver's loop may use it.
type State struct {
	cfg       Config
	hardState HardState
	log       entryLog

	// members is the newest membership in the log, committed or not, and
	// membersIndex the index of its entry. Raft counts majorities by the
	// newest one, not by the committed one (thesis, section 4.1).
	members      Membership
	membersIndex uint64

	commit  uint64
	applied uint64

	role   Role
	leader Identity
	// now is the time of the last Tick, electionTimerStart the time from which
	// the election timeout counts.
	now                time.Duration
	electionTimerStart time.Duration
	// yieldUntil is the time before which this replica does not campaign, in
	// favour of another candidate.
	yieldUntil time.Duration
	// leaderSeen is set once a leader has been heard from since the start.
	leaderSeen bool
	jitter     float64
	// currentAt is the latest time at which this replica is known to have held
	// everything committed; 0 means never.
	currentAt time.Duration
	// pendingCurrent becomes currentAt once the commit index that came with
	// it is applied.
	pendingCurrent       time.Duration
	pendingCurrentCommit uint64

	// received is the highest index known to match the log of the term's
	// leader, synced or not.
	received uint64

	disk  diskState
	votes map[Identity]bool
	lead  leaderState
	reads []pendingRead

	effects []Effect
}

// diskState tracks the writes handed to the disk and those that are synced.
type diskState struct {
	// seq is the sequence number of the last Persist emitted, synced that of
	// the last one synced.
	seq    uint64
	synced uint64
	// hardStateSeq is the sequence number of the last Persist with a hard
	// state.
	hardStateSeq uint64
	// stable is the last index that is synced and not replaced since.
	stable   uint64
	writes   []pendingWrite
	deferred []deferredEffect
}

type pendingWrite struct {
	seq  uint64
	last uint64
}

// deferredEffect is an action that must wait until the disk has synced seq:
// sending a message, or counting the replica's own vote in voteTerm if effect
// is nil.
type deferredEffect struct {
	seq      uint64
	effect   Effect
	voteTerm uint64
}

// PersistentState is the state that a replica recovered from its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  SnapshotMeta
	// Entries are the log entries after the snapshot.
	Entries []Entry
}

// New returns the state of a replica that starts from what its disk holds. The
// caller must have restored the state machine from the snapshot.
func New(cfg Config, disk PersistentState) *State {
	s := &State{cfg: cfg, hardState: disk.HardState}
	if cfg.FirstElectionTimeout > 0 {
		// Replicas that start together must not all campaign at the same time.
		s.jitter = float64(cfg.Boot%1024) / 1024
	}
	s.log.reset(disk.Snapshot)
	s.log.entries = disk.Entries
	s.commit = disk.Snapshot.Index
	s.applied = disk.Snapshot.Index
	s.disk.stable = s.log.last()
	s.members, s.membersIndex = s.log.membership()
	return s
}

// Identity returns the replica's own identity.
func (s *State) Identity() Identity { return s.cfg.Self }

// Role returns the replica's current role.
func (s *State) Role() Role { return s.role }

// Term returns the replica's current term.
func (s *State) Term() uint64 { return s.hardState.Term }

// Leader returns the leader of the current term, or the zero Identity if it is
// unknown.
func (s *State) Leader() Identity { return s.leader }

// LastIndex returns the index of the last entry of the log.
func (s *State) LastIndex() uint64 { return s.log.last() }

// Commit returns the commit index.
func (s *State) Commit() uint64 { return s.commit }

// AppliedIndex returns the index of the last entry passed to the state machine.
func (s *State) AppliedIndex() uint64 { return s.applied }

// Membership returns the newest membership in the log and whether it is
// committed.
func (s *State) Membership() (Membership, bool) {
	return s.members, s.membersIndex <= s.commit
}

// MembershipAt returns the newest membership at or before index in the log, or
// that of the log's snapshot if there is none.
func (s *State) MembershipAt(index uint64) Membership {
	found := s.log.snapshotMeta.Membership
	for _, entry := range s.log.entries {
		if entry.Index > index {
			break
		}
		if entry.Kind == EntryMembership && entry.Index > s.log.snapshotMeta.Index {
			found = *entry.Membership
		}
	}
	return found
}

// TermAt returns the term of the entry at index, and false if the log does not
// hold it.
func (s *State) TermAt(index uint64) (uint64, bool) { return s.log.term(index) }

// CurrentAt returns the latest time, on the clock of Tick, at which the replica
// is known to have held everything committed; 0 means never.
func (s *State) CurrentAt() time.Duration { return s.currentAt }

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// persist emits a write and records the last log index that it covers.
func (s *State) persist(write Persist) {
	s.disk.seq++
	write.Seq = s.disk.seq
	if write.HardState != nil {
		s.disk.hardStateSeq = write.Seq
	}
	s.disk.writes = append(s.disk.writes, pendingWrite{write.Seq, s.log.last()})
	s.emit(write)
}

func (s *State) persistHardState() {
	hardState := s.hardState
	s.persist(Persist{HardState: &hardState})
}

// truncateStable lowers the synced index when entries from index on are
// replaced: synced copies of the old entries no longer count.
func (s *State) truncateStable(index uint64) {
	s.disk.stable = min(s.disk.stable, index-1)
	for i := range s.disk.writes {
		s.disk.writes[i].last = min(s.disk.writes[i].last, index-1)
	}
}

// message builds a message to another replica in the current term.
func (s *State) message(to Identity, body Body) Message {
	return Message{Group: s.members.Group, From: s.cfg.Self, To: to, Term: s.hardState.Term, Body: body}
}

// send sends a message at once. The message must not depend on a pending write.
func (s *State) send(to Identity, body Body) {
	s.emit(Send{Message: s.message(to, body)})
}

// sendSynced sends a message once every write emitted so far is synced. A crash
// could lose a vote or acknowledgement that was sent earlier, after others have
// counted it: a term could get two leaders, or a committed entry could be lost.
func (s *State) sendSynced(to Identity, body Body) {
	send := Send{Message: s.message(to, body)}
	if s.disk.synced == s.disk.seq {
		s.emit(send)
		return
	}
	s.disk.deferred = append(s.disk.deferred, deferredEffect{seq: s.disk.seq, effect: send})
}
