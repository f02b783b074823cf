package pool

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/entry/bodyread"
)

// TestLargeReplyIsNamedInTheCause checks the limit of a reply, that its memory is given back,
// and the causes that operators look for in the log.
func TestLargeReplyIsNamedInTheCause(t *testing.T) {
	read := func(size int, memory *bodyread.Budget) error {
		_, err := readBody(&http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}, memory)
		return err
	}
	memory := bodyread.NewBudget(maxReplyMemory)
	assert.NilError(t, read(maxReplyBytes, memory))
	assert.Error(t, read(maxReplyBytes+1, memory), "reply is larger than 8388608 bytes")
	assert.Equal(t, memory.Left(), int64(maxReplyMemory))
	assert.Error(t, read(1<<20, bodyread.NewBudget(0)), "too many large replies are being read")
}
