package gather

import (
	"bytes"
	"container/heap"
)

// RecordBytes is the size of a record in a forwarded reply. A remainder shorter
// than that is no record.
const RecordBytes = 16

// TopRecords returns the greatest k records of some replies, greatest first,
// compared byte by byte. Equal records all count.
func TopRecords(replies [][]byte, k int) []byte {
	if k <= 0 {
		return nil
	}
	smallest := make(recordHeap, 0, k)
	for _, reply := range replies {
		for len(reply) >= RecordBytes {
			record := reply[:RecordBytes]
			reply = reply[RecordBytes:]
			switch {
			case len(smallest) < k:
				heap.Push(&smallest, record)
			case bytes.Compare(record, smallest[0]) > 0:
				smallest[0] = record
				heap.Fix(&smallest, 0)
			}
		}
	}
	out := make([]byte, len(smallest)*RecordBytes)
	for i := len(smallest) - 1; i >= 0; i-- {
		record := heap.Pop(&smallest).([]byte)
		copy(out[i*RecordBytes:], record)
	}
	return out
}

// recordHeap has the smallest record first.
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
