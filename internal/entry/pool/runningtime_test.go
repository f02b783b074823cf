package pool

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRunningTimeoutExpiresWithoutAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := withRunningTimeout(t.Context(), time.Second)
		defer cancel()
		<-ctx.Done()
		assert.Equal(t, time.Since(began), time.Second)
		assert.ErrorIs(t, context.Cause(ctx), os.ErrDeadlineExceeded)
	})
}

// TestPauseDoesNotUseUpTheDialTime sends one tick for a pause of any length, as a ticker does.
func TestPauseDoesNotUseUpTheDialTime(t *testing.T) {
	ticks := make(chan time.Time)
	expired := make(chan bool)
	go func() { expired <- countSteps(t.Context(), ticks) }()
	now := time.Now()
	for range timeoutSteps - 1 {
		now = now.Add(time.Hour)
		ticks <- now
		select {
		case <-expired:
			t.Fatal("the time was over after a pause")
		default:
		}
	}
	ticks <- now
	assert.Assert(t, <-expired)
}

// TestDialGivesUp guards against a target that drops what it is sent and holds requests for long.
func TestDialGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := New(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		defer p.Close()
		p.Configure("a", "192.0.2.1:1", 1, 0)
		_, err := p.Send(t.Context(), "a", Request{Method: http.MethodGet, Bytes: []byte("GET / HTTP/1.1\r\n\r\n")})
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(began), dialTimeout)
	})
}
