package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the heads that are read for one request: those of
	// informational replies and that of the final one.
	maxHeadBytes = 32 << 10
	// maxReplyBytes bounds the body of a target's reply.
	maxReplyBytes = 8 << 20
	// maxReplyMemory bounds the memory that the bodies being read take together
	// beyond freeBodyBytes each. Without it a few targets that send without end would
	// exhaust the memory of a small VM.
	maxReplyMemory = 16 << 20
	// freeBodyBytes is the buffer up to which a body takes nothing from
	// maxReplyMemory, so that usual replies are read while large ones use it up.
	freeBodyBytes = 16 << 10
	// initialBodyBytes is the first buffer of a body whose length isn't stated. Gathers
	// read many small replies at once.
	initialBodyBytes = 512
)

var (
	errHeadTooLarge = fmt.Errorf("head of the reply is larger than %d bytes", maxHeadBytes)
	errTooLarge     = fmt.Errorf("reply is larger than %d bytes", maxReplyBytes)
	errNoMemory     = errors.New("too many large replies are being read")
)

// headLimiter reads from a connection. While a head is read it returns at most
// maxHeadBytes in total and then an error.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int
}

func (l *headLimiter) start() { l.limited, l.left = true, maxHeadBytes }

func (l *headLimiter) stop() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// memoryBudget is a number of bytes that may still be allocated. It is safe for
// concurrent use.
type memoryBudget struct{ free atomic.Int64 }

// take reports whether n bytes were left, and takes them if so.
func (b *memoryBudget) take(n int) bool {
	if b.free.Add(int64(-n)) >= 0 {
		return true
	}
	b.free.Add(int64(n))
	return false
}

func (b *memoryBudget) giveBack(n int) { b.free.Add(int64(n)) }

// readBody reads the body of a reply. Its buffer grows with the bytes that arrive, not
// with the length that the target states. The memory taken from the budget is given back
// when the body has been read.
func readBody(res *http.Response, memory *memoryBudget) ([]byte, error) {
	if res.ContentLength > maxReplyBytes {
		return nil, errTooLarge
	}
	size, limit := int64(initialBodyBytes), maxReplyBytes+1
	if res.ContentLength >= 0 {
		size, limit = min(res.ContentLength, freeBodyBytes), int(res.ContentLength)
	}
	body := make([]byte, 0, size)
	taken := 0
	defer func() { memory.giveBack(taken) }()
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == res.ContentLength {
				return body, nil
			}
			grown, grownTaken, err := grow(body, limit, memory)
			if err != nil {
				return nil, err
			}
			memory.giveBack(taken)
			body, taken = grown, grownTaken
		}
		n, err := res.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of a body with twice the capacity, at most limit, and how much of
// that it took from the budget.
func grow(body []byte, limit int, memory *memoryBudget) (grown []byte, taken int, err error) {
	size := 2 * cap(body)
	if size+1 >= limit {
		size = limit // a last step of one byte would need twice the memory
	}
	switch {
	case len(body) > maxReplyBytes:
		return nil, 0, errTooLarge
	case size <= freeBodyBytes:
	case memory.take(size):
		taken = size
	default:
		return nil, 0, errNoMemory
	}
	return append(make([]byte, 0, size), body...), taken, nil
}
