package pool

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyTakesMemoryAsItGrows reads bodies of several sizes, with and without a stated
// length, and checks the buffer that is left and that the budget is given back.
func TestBodyTakesMemoryAsItGrows(t *testing.T) {
	for _, size := range []int{0, 1, 400, 512, 513, freeBodyBytes, freeBodyBytes + 1, 1 << 20, maxReplyBytes, maxReplyBytes + 1} {
		for _, stated := range []bool{true, false} {
			var memory memoryBudget
			memory.free.Store(maxReplyMemory)
			sent := bytes.Repeat([]byte("x"), size)
			res := &http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(sent))}
			if stated {
				res.ContentLength = int64(size)
			}
			body, err := readBody(res, &memory)
			assert.Equal(t, memory.free.Load(), int64(maxReplyMemory))
			if size > maxReplyBytes {
				assert.ErrorIs(t, err, errTooLarge)
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body, sent), "%d bytes", size)
			assert.Assert(t, cap(body) <= max(2*size, initialBodyBytes)+1, "%d bytes in a buffer of %d", size, cap(body))
		}
	}
}

// TestUsualBodiesNeedNoBudget reads a body while other replies have used the budget up.
func TestUsualBodiesNeedNoBudget(t *testing.T) {
	for size, want := range map[int]error{freeBodyBytes - 1: nil, freeBodyBytes + 1: errNoMemory} {
		var memory memoryBudget
		res := &http.Response{ContentLength: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
		_, err := readBody(res, &memory)
		assert.Equal(t, errors.Is(err, errNoMemory), want != nil)
		assert.Equal(t, err == nil, want == nil)
	}
}
