package ledger

import "container/heap"

// keyTimeHeap is a min-heap of entries ordered by key time.
type keyTimeHeap []*entry

func (h *keyTimeHeap) push(e *entry) { heap.Push(h, e) }

func (h *keyTimeHeap) pop() *entry { return heap.Pop(h).(*entry) }

// Len implements heap.Interface.
func (h keyTimeHeap) Len() int { return len(h) }

// Less implements heap.Interface. Keys with equal times are evicted together,
// so their order doesn't matter.
func (h keyTimeHeap) Less(i, j int) bool { return h[i].keyTime < h[j].keyTime }

// Swap implements heap.Interface.
func (h keyTimeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyTimeHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *keyTimeHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
