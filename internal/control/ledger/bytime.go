package ledger

import "container/heap"

// byTime is a heap of entries, the oldest key first.
type byTime []*entry

func (b *byTime) push(e *entry) { heap.Push(b, e) }

func (b *byTime) pop() *entry { return heap.Pop(b).(*entry) }

// Len implements heap.Interface.
func (b byTime) Len() int { return len(b) }

// Less implements heap.Interface. Keys of equal time leave together, so their
// order doesn't matter.
func (b byTime) Less(i, j int) bool { return b[i].keyTime < b[j].keyTime }

// Swap implements heap.Interface.
func (b byTime) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *byTime) Push(x any) { *b = append(*b, x.(*entry)) }

// Pop implements heap.Interface.
func (b *byTime) Pop() any {
	last := len(*b) - 1
	e := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	return e
}
