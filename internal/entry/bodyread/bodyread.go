// Package bodyread reads the bodies of requests and replies into memory that they share,
// so that their number and sizes can't exhaust a small VM.
package bodyread

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// FreeBytes is the buffer up to which a body takes nothing from a budget, so that
	// usual bodies are read while large ones use it up.
	FreeBytes = 16 << 10
	// initialBytes is the first buffer of a body whose length isn't stated. Gathers read
	// many small replies at once.
	initialBytes = 512
)

var (
	// ErrTooLarge is returned for a body that is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory is returned for a body for which the budget has no memory left.
	ErrNoMemory = errors.New("too many large bodies are being read")
)

// Memory is what bodies take beyond FreeBytes each. It is safe for concurrent use.
type Memory interface {
	// Take reports whether a number of bytes was left, and takes them if so.
	Take(bytes int) bool
	// GiveBack returns bytes that were taken.
	GiveBack(bytes int)
}

// Budget is a number of bytes that may still be allocated for bodies beyond FreeBytes each.
// It is safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// Left returns the number of bytes left.
func (b *Budget) Left() int64 { return b.left.Load() }

// GiveBack returns bytes that were taken.
func (b *Budget) GiveBack(bytes int) { b.left.Add(int64(bytes)) }

// Take implements Memory.
func (b *Budget) Take(bytes int) bool {
	if b.left.Add(int64(-bytes)) >= 0 {
		return true
	}
	b.left.Add(int64(bytes))
	return false
}

// Share is the part of a budget that the bodies of one sender take together: never more than it
// leaves to others. Without it a few senders whose bodies don't end would use up the budget.
type Share struct {
	budget *Budget
	taken  atomic.Int64
}

// NewShare returns a sender's share of a budget.
func NewShare(budget *Budget) *Share { return &Share{budget: budget} }

// Take implements Memory.
func (s *Share) Take(bytes int) bool {
	own := s.taken.Add(int64(bytes))
	if !s.budget.Take(bytes) {
		s.taken.Add(int64(-bytes))
		return false
	}
	if own > s.budget.Left() {
		s.GiveBack(bytes)
		return false
	}
	return true
}

// GiveBack implements Memory.
func (s *Share) GiveBack(bytes int) {
	s.taken.Add(int64(-bytes))
	s.budget.GiveBack(bytes)
}

// Read reads a body of a stated length, -1 for none, that may have up to most bytes. Its
// buffer grows with the bytes that arrive, not with the length. The caller gives back what
// is taken from the budget when it doesn't need the body any more; after an error nothing
// is taken. Errors are those of the body, ErrTooLarge or ErrNoMemory.
func Read(body io.Reader, length int64, most int, budget Memory) (read []byte, taken int, err error) {
	if length > int64(most) {
		return nil, 0, ErrTooLarge
	}
	size, limit := int64(initialBytes), most+1
	if length >= 0 {
		size, limit = min(length, FreeBytes), int(length)
	}
	read = make([]byte, 0, size)
	for {
		if len(read) == cap(read) {
			if int64(len(read)) == length {
				return read, taken, nil
			}
			grown, grownTaken, err := grow(read, limit, most, budget)
			budget.GiveBack(taken)
			if err != nil {
				return nil, 0, err
			}
			read, taken = grown, grownTaken
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) && len(read) <= most {
			return read, taken, nil
		}
		if err != nil {
			budget.GiveBack(taken)
			if errors.Is(err, io.EOF) {
				err = ErrTooLarge
			}
			return nil, 0, err
		}
	}
}

// grow returns a copy of a body with twice the capacity, at most limit, and how much of
// that it took from the budget.
func grow(read []byte, limit, most int, budget Memory) (grown []byte, taken int, err error) {
	size := 2 * cap(read)
	if size+1 >= limit {
		size = limit // a last step of one byte would need twice the memory
	}
	switch {
	case len(read) > most:
		return nil, 0, ErrTooLarge
	case size <= FreeBytes:
	case budget.Take(size):
		taken = size
	default:
		return nil, 0, ErrNoMemory
	}
	return append(make([]byte, 0, size), read...), taken, nil
}
