package driver

import (
	"sync"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
)

// fate says what became of a proposal.
type fate uint8

const (
	// fateApplied is a committed and applied proposal.
	fateApplied fate = iota + 1
	// fateNever is a proposal that has not and never will be applied.
	fateNever
	// fateDoubt is a proposal that may yet be applied, or was out of sight.
	fateDoubt
	// fateStopped is in doubt because the process stops.
	fateStopped
)

// decided is the end of a proposal.
type decided struct {
	fate   fate
	reason replica.RefusalReason
	result machine.Result
	index  uint64
}

// proposal is a command on its way to the loop.
type proposal struct {
	id   uint64
	data []byte
	done chan<- decided
}

// change is a membership change on its way to the loop.
type change struct {
	id     uint64
	change replica.Change
	done   chan<- decided
}

// readWaiter waits for a quorum to confirm a read.
type readWaiter chan<- bool

// waiters holds who waits for the fate of a proposal or read. Each channel has
// room for its one answer, so that answering never waits.
type waiters struct {
	mu      sync.Mutex
	byID    map[uint64]chan<- decided
	byIndex map[uint64][]indexWaiter
	reads   map[uint64][]readWaiter
}

type indexWaiter struct {
	term uint64
	done chan<- decided
}

func newWaiters() *waiters {
	return &waiters{
		byID:    map[uint64]chan<- decided{},
		byIndex: map[uint64][]indexWaiter{},
		reads:   map[uint64][]readWaiter{},
	}
}

func (w *waiters) add(id uint64, done chan<- decided) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = done
}

func (w *waiters) accepted(e replica.Accepted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := indexWaiter{term: e.Term, done: w.byID[e.ID]}
	delete(w.byID, e.ID)
	w.byIndex[e.Index] = append(w.byIndex[e.Index], waiting)
}

func (w *waiters) refused(e replica.Refused) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[e.ID] <- decided{fate: fateNever, reason: e.Reason}
	delete(w.byID, e.ID)
}

// applied answers who proposed the entry at this index. Another term's entry
// in its place means that the proposal can never be committed.
func (w *waiters) applied(entry replica.Entry, result machine.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, waiting := range w.byIndex[entry.Index] {
		if waiting.term != entry.Term {
			waiting.done <- decided{fate: fateNever}
			continue
		}
		waiting.done <- decided{fate: fateApplied, result: result, index: entry.Index}
	}
	delete(w.byIndex, entry.Index)
}

// restored leaves in doubt what a snapshot has passed over.
func (w *waiters) restored(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, list := range w.byIndex {
		if at <= index {
			answer(list, fateDoubt)
			delete(w.byIndex, at)
		}
	}
}

// doubtAll answers everyone when the replica stops leading: another leader may
// or may not commit their entries, and the callers must not wait for that.
func (w *waiters) doubtAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.byIndex {
		answer(list, fateDoubt)
	}
	clear(w.byIndex)
}

func (w *waiters) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.byIndex {
		answer(list, fateStopped)
	}
	clear(w.byIndex)
}

func answer(list []indexWaiter, f fate) {
	for _, waiting := range list {
		waiting.done <- decided{fate: f}
	}
}

func (w *waiters) addReads(id uint64, list []readWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads[id] = list
}

func (w *waiters) read(id uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, done := range w.reads[id] {
		done <- ok
	}
	delete(w.reads, id)
}

// proposeBatch takes the proposals that have gathered as one event.
func (n *Node) proposeBatch(first proposal) {
	batch := []replica.Proposal{{ID: first.id, Data: first.data}}
	n.waiters.add(first.id, first.done)
	for len(batch) < n.o.GroupCommit {
		select {
		case next := <-n.proposed:
			batch = append(batch, replica.Proposal{ID: next.id, Data: next.data})
			n.waiters.add(next.id, next.done)
			continue
		default:
		}
		break
	}
	n.step(replica.Propose{Proposals: batch})
}

// readBatch confirms the reads that have gathered with one round.
func (n *Node) readBatch(first readWaiter) {
	list := []readWaiter{first}
	for len(list) < queueSize {
		select {
		case next := <-n.asked:
			list = append(list, next)
			continue
		default:
		}
		break
	}
	id := n.nextID.Add(1)
	n.waiters.addReads(id, list)
	n.step(replica.Read{ID: id})
}
