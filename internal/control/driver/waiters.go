package driver

import (
	"sync"

	"wigeonbay/internal/control/machine"
	"wigeonbay/internal/control/replica"
)

// outcome is what happened to a proposal.
type outcome uint8

const (
	// outcomeApplied means that the proposal is committed and applied.
	outcomeApplied outcome = iota + 1
	// outcomeNotApplied means that the proposal was not and never will be
	// applied.
	outcomeNotApplied
	// outcomeUnknown means that the proposal may have been applied or may still
	// be.
	outcomeUnknown
	// outcomeStopped means that the outcome is unknown because the process is
	// stopping.
	outcomeStopped
)

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	outcome outcome
	reason  replica.RefusalReason
	result  machine.Result
	index   uint64
}

// proposal is a command to be proposed by the loop.
type proposal struct {
	id   uint64
	data []byte
	done chan<- proposalResult
}

// change is a membership change to be proposed by the loop.
type change struct {
	id     uint64
	change replica.Change
	done   chan<- proposalResult
}

// readWaiter receives whether a quorum confirmed a read.
type readWaiter chan<- bool

// waiters holds the callers that wait for the outcome of a proposal or read.
// Each channel has a buffer for its one result, so that sending never blocks.
type waiters struct {
	mu      sync.Mutex
	byID    map[uint64]chan<- proposalResult
	byIndex map[uint64][]indexWaiter
	reads   map[uint64][]readWaiter
}

type indexWaiter struct {
	term uint64
	done chan<- proposalResult
}

func newWaiters() *waiters {
	return &waiters{
		byID:    map[uint64]chan<- proposalResult{},
		byIndex: map[uint64][]indexWaiter{},
		reads:   map[uint64][]readWaiter{},
	}
}

func (w *waiters) add(id uint64, done chan<- proposalResult) {
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
	w.byID[e.ID] <- proposalResult{outcome: outcomeNotApplied, reason: e.Reason}
	delete(w.byID, e.ID)
}

// applied answers the callers that proposed the entry at this index. If the
// entry has another term, their proposal can never be committed.
func (w *waiters) applied(entry replica.Entry, result machine.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, waiting := range w.byIndex[entry.Index] {
		if waiting.term != entry.Term {
			waiting.done <- proposalResult{outcome: outcomeNotApplied}
			continue
		}
		waiting.done <- proposalResult{outcome: outcomeApplied, result: result, index: entry.Index}
	}
	delete(w.byIndex, entry.Index)
}

// restored answers the proposals up to the index of a restored snapshot with an
// unknown outcome: the snapshot does not show whether they were applied.
func (w *waiters) restored(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, list := range w.byIndex {
		if at <= index {
			resolve(list, outcomeUnknown)
			delete(w.byIndex, at)
		}
	}
}

// markAllUnknown answers all callers with accepted proposals when the replica
// stops leading. Another leader may or may not commit their entries, and the
// callers must not wait for that.
func (w *waiters) markAllUnknown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.byIndex {
		resolve(list, outcomeUnknown)
	}
	clear(w.byIndex)
}

func (w *waiters) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.byIndex {
		resolve(list, outcomeStopped)
	}
	clear(w.byIndex)
}

func resolve(list []indexWaiter, o outcome) {
	for _, waiting := range list {
		waiting.done <- proposalResult{outcome: o}
	}
}

func (w *waiters) addReads(id uint64, list []readWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads[id] = list
}

func (w *waiters) readDone(id uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, done := range w.reads[id] {
		done <- ok
	}
	delete(w.reads, id)
}

// proposeBatch proposes the queued commands as one event.
func (n *Node) proposeBatch(first proposal) {
	batch := []replica.Proposal{{ID: first.id, Data: first.data}}
	n.waiters.add(first.id, first.done)
	for len(batch) < n.opts.GroupCommit {
		select {
		case next := <-n.proposals:
			batch = append(batch, replica.Proposal{ID: next.id, Data: next.data})
			n.waiters.add(next.id, next.done)
			continue
		default:
		}
		break
	}
	n.step(replica.Propose{Proposals: batch})
}

// readBatch confirms all queued reads with one round of messages to a quorum.
func (n *Node) readBatch(first readWaiter) {
	list := []readWaiter{first}
	for len(list) < requestQueueSize {
		select {
		case next := <-n.readRequests:
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
