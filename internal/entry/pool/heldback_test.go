package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHeldBackTargetGetsNothing holds a target back while a connection to it is being
// opened: the request must not be sent on it.
//
// fault: overload x forward
func TestHeldBackTargetGetsNothing(t *testing.T) {
	var served atomic.Int64
	address := newServer(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	dialing, proceed := make(chan struct{}), make(chan struct{})
	p := New(func(ctx context.Context, address string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, WithoutIdleChecks())
	t.Cleanup(p.Close)
	p.Configure("a", address, 1, 0)
	result := make(chan error)
	go func() {
		_, err := p.Send(context.Background(), "a", Request{Method: http.MethodGet, Bytes: []byte(request)})
		result <- err
	}()
	<-dialing
	p.HoldBack("a", time.Now().Add(time.Hour))
	close(proceed)
	err := <-result
	var poolErr *Error
	assert.Assert(t, errors.As(err, &poolErr))
	assert.Assert(t, poolErr.NotSent)
	assert.ErrorIs(t, err, ErrHeldBack)
	assert.Equal(t, served.Load(), int64(0))
}
