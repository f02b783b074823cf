package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"wigeonbay/internal/entry/bodyread"
)

const (
	// maxHeadBytes bounds the heads that are read for one request: those of
	// informational replies and that of the final one.
	maxHeadBytes = 32 << 10
	// maxReplyBytes bounds the body of a target's reply.
	maxReplyBytes = 8 << 20
	// maxReplyMemory bounds the memory that the bodies being read take together
	// beyond bodyread.FreeBytes each. Without it a few targets that send without end would
	// exhaust the memory of a small VM. One target takes at most half of it: a reply of
	// maxReplyBytes, and half as much while its buffer grows.
	maxReplyMemory = 3*maxReplyBytes + bodyread.FreeBytes
)

// The texts are the causes in the log of requests.
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

// readBody reads the body of a reply. The memory taken from the budget is given back when
// the body has been read.
func readBody(res *http.Response, memory bodyread.Memory) ([]byte, error) {
	body, taken, err := bodyread.Read(res.Body, res.ContentLength, maxReplyBytes, memory)
	memory.GiveBack(taken)
	switch {
	case errors.Is(err, bodyread.ErrTooLarge):
		return nil, errTooLarge
	case errors.Is(err, bodyread.ErrNoMemory):
		return nil, errNoMemory
	}
	return body, err
}
