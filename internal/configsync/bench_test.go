package configsync

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// ticketControl serves Control.Fetch with a fixed number of tickets.
type ticketControl struct {
	tickets int
}

// Fetch implements Control.Fetch.
func (c *ticketControl) Fetch(args *controlrpc.FetchArgs, reply *controlrpc.FetchReply) error {
	reply.Delta = api.ConfigDelta{From: args.Since, To: args.Since + uint64(c.tickets)}
	for i := range c.tickets {
		reply.Delta.Tickets = append(reply.Delta.Tickets, api.Ticket{
			Number: uint64(i), Operator: "maria", Services: []api.Service{{
				Name: fmt.Sprint("lots-", i), Prefer: api.PreferDeadline, LeastCoverage: 0.9, DeadlineMS: 170,
			}},
		})
	}
	reply.Applied = reply.Delta.To
	return nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures the bytes of one poll in both directions, without TCP
// headers, and its time including client and server.
//
//	go test -run '^$' -bench Poll ./internal/configsync
func BenchmarkPoll(b *testing.B) {
	for _, tickets := range []int{0, 1, 100} {
		b.Run(fmt.Sprintf("tickets=%d", tickets), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			server := wire.NewServer()
			assert.NilError(b, server.Register("Control", &ticketControl{tickets: tickets}))
			server.Serve(listener)
			defer server.Close()
			var bytes atomic.Int64
			client := wire.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := wire.DialTCP(ctx, address)
				return countingConn{conn, &bytes}, err
			})
			defer client.Close()
			ctx := b.Context()
			poll := func() {
				var reply controlrpc.FetchReply
				args := controlrpc.FetchArgs{Envelope: wire.NewEnvelope(ctx), Since: 1 << 20, WaitMS: 3000}
				assert.NilError(b, client.Call(ctx, listener.Addr().String(), controlrpc.MethodFetch, &args, &reply))
			}
			poll()
			bytes.Store(0)
			for b.Loop() {
				poll()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
		})
	}
}
