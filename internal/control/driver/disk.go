package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonbay/internal/control/replica"
)

// diskWork is one thing to do: a log write, or to drop what a stored snapshot
// replaces.
type diskWork struct {
	persist *replica.Persist
	stored  *replica.Snapshot
}

// diskQueue holds what waits for the disk, in order. It has no bound of its
// own: the loop must never wait for the disk, and what it holds is bounded by
// the proposals and messages in flight.
type diskQueue struct {
	mu    sync.Mutex
	work  []diskWork
	ready chan struct{}

	syncs  atomic.Uint64
	writes atomic.Uint64
	// busySince is when the write under way began, in nanoseconds of the node's
	// clock; 0 while none is.
	busySince atomic.Int64
}

// stuckFor returns how long the write under way has taken at now.
func (q *diskQueue) stuckFor(now time.Duration) time.Duration {
	since := q.busySince.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}

func newDiskQueue() *diskQueue { return &diskQueue{ready: make(chan struct{}, 1)} }

func (q *diskQueue) add(work diskWork) {
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

// take removes log writes with up to limit entries from the front, at least one
// write, or one stored snapshot.
func (q *diskQueue) take(limit int) []diskWork {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.work) && q.work[count].stored == nil {
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

// writeDisk writes to the log until the node stops. Whatever gathers during
// one sync shares the next.
func (n *Node) writeDisk() {
	defer n.running.Done()
	for {
		select {
		case <-n.stop.Done():
			return
		case <-n.disk.ready:
		}
		for work := n.disk.take(n.o.GroupCommit); len(work) > 0; work = n.disk.take(n.o.GroupCommit) {
			n.disk.busySince.Store(int64(n.now()))
			err := n.write(work)
			n.disk.busySince.Store(0)
			if err != nil {
				n.fail(err)
				return
			}
		}
	}
}

func (n *Node) write(work []diskWork) error {
	if snapshot := work[0].stored; snapshot != nil {
		if err := n.log.Retire(snapshot.Meta.Index); err != nil {
			return err
		}
		n.post(inspection(func(*replica.State) { n.snapshotSaved(*snapshot) }))
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
