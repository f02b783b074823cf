package gather

import (
	"bytes"
	"container/heap"
)

// RecordBytes is the size of a record in a forwarded reply. A shorter remainder
// at the end of a reply is ignored.
const RecordBytes = 16

// TopRecords returns the k greatest records of all replies in descending byte
// order. Duplicate records are kept. Its memory depends on the replies, not on k:
// a routing table may ask for any number of records.
func TopRecords(replies [][]byte, k int) []byte {
	available := 0
	for _, reply := range replies {
		available += len(reply) / RecordBytes
	}
	k = min(k, available)
	if k <= 0 {
		return nil
	}
	top := make(recordHeap, 0, k)
	for _, reply := range replies {
		for len(reply) >= RecordBytes {
			record := reply[:RecordBytes]
			reply = reply[RecordBytes:]
			switch {
			case len(top) < k:
				heap.Push(&top, record)
			case bytes.Compare(record, top[0]) > 0:
				top[0] = record
				heap.Fix(&top, 0)
			}
		}
	}
	out := make([]byte, len(top)*RecordBytes)
	for i := len(top) - 1; i >= 0; i-- {
		record := heap.Pop(&top).([]byte)
		copy(out[i*RecordBytes:], record)
	}
	return out
}

// recordHeap is a min-heap of records in byte order.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(record any) { *h = append(*h, record.([]byte)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	record := (*h)[last]
	*h = (*h)[:last]
	return record
}
