package bodyread

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const (
	testBudget = 16 << 20
	most       = 8 << 20
)

// TestBodyTakesMemoryAsItGrows reads bodies of several sizes, with and without a stated
// length, and checks the buffer that is left and what was taken from the budget.
func TestBodyTakesMemoryAsItGrows(t *testing.T) {
	for _, size := range []int{0, 1, 400, 512, 513, FreeBytes, FreeBytes + 1, 1 << 20, most, most + 1} {
		for _, stated := range []bool{true, false} {
			budget := NewBudget(testBudget)
			sent := bytes.Repeat([]byte("x"), size)
			length := int64(-1)
			if stated {
				length = int64(size)
			}
			body, taken, err := Read(iotest.DataErrReader(bytes.NewReader(sent)), length, most, budget)
			assert.Equal(t, budget.Left(), int64(testBudget-taken))
			if size > most {
				assert.ErrorIs(t, err, ErrTooLarge)
				assert.Equal(t, taken, 0)
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body, sent), "%d bytes", size)
			assert.Assert(t, cap(body) <= max(2*size, initialBytes)+1, "%d bytes in a buffer of %d", size, cap(body))
			assert.Assert(t, taken >= cap(body) || cap(body) <= FreeBytes, "%d bytes taken for a buffer of %d", taken, cap(body))
		}
	}
}

// TestUsualBodiesNeedNoBudget reads a body while others have used the budget up.
func TestUsualBodiesNeedNoBudget(t *testing.T) {
	for size, want := range map[int]error{FreeBytes - 1: nil, FreeBytes + 1: ErrNoMemory} {
		budget := NewBudget(0)
		_, _, err := Read(bytes.NewReader(make([]byte, size)), -1, most, budget)
		assert.Equal(t, errors.Is(err, ErrNoMemory), want != nil)
		assert.Equal(t, err == nil, want == nil)
		assert.Equal(t, budget.Left(), int64(0))
	}
}

// TestBrokenBodyGivesMemoryBack reads a body that ends before its stated length, and one
// whose connection breaks.
func TestBrokenBodyGivesMemoryBack(t *testing.T) {
	broken := errors.New("broken")
	for _, end := range []error{broken, io.ErrUnexpectedEOF} {
		budget := NewBudget(testBudget)
		body := io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), failingReader{end})
		_, taken, err := Read(body, -1, most, budget)
		assert.ErrorIs(t, err, end)
		assert.Equal(t, taken, 0)
		assert.Equal(t, budget.Left(), int64(testBudget))
	}
}

type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// TestShareLeavesAsMuchToOthers guards against one sender whose bodies use up the budget.
func TestShareLeavesAsMuchToOthers(t *testing.T) {
	budget := NewBudget(testBudget)
	first, second := NewShare(budget), NewShare(budget)
	assert.Assert(t, !first.Take(testBudget/2+1))
	assert.Assert(t, first.Take(testBudget/2))
	assert.Assert(t, !first.Take(1), "more than it leaves")
	assert.Assert(t, second.Take(testBudget/4))
	assert.Assert(t, !second.Take(1))
	assert.Equal(t, budget.Left(), int64(testBudget/4))
	first.GiveBack(testBudget / 2)
	assert.Assert(t, second.Take(testBudget/8))
	second.GiveBack(testBudget * 3 / 8)
	assert.Equal(t, budget.Left(), int64(testBudget))
}
