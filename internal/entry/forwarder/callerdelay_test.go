package forwarder

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallerDelayCountsTheHandshakeOnce sends two requests on a connection.
func TestCallerDelayCountsTheHandshakeOnce(t *testing.T) {
	var mu sync.Mutex
	var delays []time.Duration
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		delays = append(delays, callerDelay(r.Context()))
	}))
	server.Config.ConnContext = withCallerConn
	server.Start()
	t.Cleanup(server.Close)
	for range 2 {
		response, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, len(delays), 2)
	assert.Assert(t, delays[1] > 0, "the kernel knows the round trip of a TCP connection")
	assert.Equal(t, delays[0], 2*delays[1])
}

func TestCallerDelayIsUnknownWithoutTCP(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	assert.Equal(t, measuredRoundTrip(ours), time.Duration(0))
	assert.Equal(t, callerDelay(t.Context()), time.Duration(0))
}
