package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/forward"
)

// TestCallerGetsNoSuccessFromATruncatedReply has a target end its reply after each byte and
// close the connection. The caller must get a failure until the reply is whole.
//
// fault: failing-target x forward
func TestCallerGetsNoSuccessFromATruncatedReply(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: 5\r\n\r\nhello"
	n := startNode(t)
	table := &api.RoutingTable{}
	for length := range len(whole) + 1 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			defer listener.Close()
			for range 2 { // the node may have opened a connection in advance
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = fmt.Fprint(conn, whole[:length])
					}
				}()
			}
		}()
		pool := fmt.Sprint("p", length)
		n.step(forward.TargetChanged{Announcement: api.Announcement{
			Target: api.TargetID(pool), Incarnation: 1, Sequence: 1, Service: pool, Address: listener.Addr().String(),
			DataCentre: "dc", State: api.TargetReady, Slots: 2,
		}})
		table = &api.RoutingTable{
			Version: table.Version + 1, Pools: []api.Pool{{Name: pool, HealthPath: "/"}},
			Routes: []api.Route{{
				Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, Attempts: 1,
				Split: []api.WeightedPool{{Pool: pool, Weight: 1}},
			}},
		}
		n.step(forward.TableInstalled{Table: table})
		// The same request again would be taken for one that crashes targets.
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%d", n.cfg.Settings.Listen.Forward, length), nil)
		assert.NilError(t, err)
		request.Host = "h"
		request.Header.Set("Id", "r1")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		reason, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		want := http.StatusBadGateway
		if length == len(whole) {
			want = http.StatusOK
		}
		assert.Equal(t, response.StatusCode, want, "%q: %s", whole[:length], reason)
		_ = listener.Close() // the target may have closed it
	}
}
