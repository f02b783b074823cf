package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonbay/internal/control/replica"
)

// diskTask is either a log write or the removal of what a stored snapshot
// replaces.
type diskTask struct {
	persist        *replica.Persist
	storedSnapshot *replica.Snapshot
}

// diskQueue holds the pending disk tasks in order. It is unbounded, since the
// loop must never wait for the disk; the proposals and messages in flight limit
// its size.
type diskQueue struct {
	mu    sync.Mutex
	work  []diskTask
	ready chan struct{}

	syncs  atomic.Uint64
	writes atomic.Uint64
	// writeStarted is when the current write began, in nanoseconds of the
	// node's clock; 0 if there is none.
	writeStarted atomic.Int64
}

// writeDuration returns how long the current write has taken at now; 0 if there
// is none.
func (q *diskQueue) writeDuration(now time.Duration) time.Duration {
	started := q.writeStarted.Load()
	if started == 0 {
		return 0
	}
	return now - time.Duration(started)
}

func newDiskQueue() *diskQueue { return &diskQueue{ready: make(chan struct{}, 1)} }

func (q *diskQueue) add(work diskTask) {
	q.mu.Lock()
	q.work = append(q.work, work)
	q.mu.Unlock()
	q.wake()
}

func (q *diskQueue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeBatch removes tasks from the front of the queue: either log writes of up
// to limit entries together, but at least one write, or a single stored
// snapshot.
func (q *diskQueue) takeBatch(limit int) []diskTask {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.work) && q.work[count].storedSnapshot == nil {
		size += max(1, len(q.work[count].persist.Entries))
		if count > 0 && size > limit {
			break
		}
		count++
	}
	if count == 0 && len(q.work) > 0 {
		count = 1
	}
	taken := q.work[:count:count]
	q.work = q.work[count:]
	return taken
}

// writeDisk executes disk tasks until the node stops. Writes that are queued
// during a sync share the next sync.
func (n *Node) writeDisk() {
	defer n.running.Done()
	for {
		select {
		case <-n.stop.Done():
			return
		case <-n.disk.ready:
		}
		for work := n.disk.takeBatch(n.opts.GroupCommit); len(work) > 0; work = n.disk.takeBatch(n.opts.GroupCommit) {
			n.disk.writeStarted.Store(int64(n.now()))
			err := n.writeBatch(work)
			n.disk.writeStarted.Store(0)
			if err != nil {
				n.fail(err)
				return
			}
		}
	}
}

func (n *Node) writeBatch(work []diskTask) error {
	if snapshot := work[0].storedSnapshot; snapshot != nil {
		if err := n.log.Retire(snapshot.Meta.Index); err != nil {
			return err
		}
		n.post(loopFunc(func(*replica.State) { n.snapshotSaved(*snapshot) }))
		return nil
	}
	writes := make([]replica.Persist, len(work))
	for i, item := range work {
		writes[i] = *item.persist
	}
	if err := n.log.Write(writes); err != nil {
		return err
	}
	n.disk.syncs.Add(1)
	n.disk.writes.Add(uint64(len(writes)))
	n.post(replica.Persisted{Seq: writes[len(writes)-1].Seq})
	return nil
}
