package driver

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// countedConn counts the bytes that a connection transfers in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle reports the cost of an idle group: the bytes per second between
// replicas and the CPU time per second of all replicas together. One iteration
// is one second.
func BenchmarkIdle(b *testing.B) {
	cases := []struct {
		replicas  int
		heartbeat time.Duration
	}{{3, 50 * time.Millisecond}, {3, 100 * time.Millisecond}, {5, 50 * time.Millisecond}, {5, 100 * time.Millisecond}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("replicas=%d/heartbeat=%v", c.replicas, c.heartbeat), func(b *testing.B) {
			g := newGroup(b, []string{"a", "b", "c", "d", "e"}[:c.replicas]...)
			g.replication = settings.DefaultControl().Replication
			g.replication.Heartbeat = c.heartbeat
			var bytes atomic.Int64
			for _, peer := range g.members {
				dial := func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := wire.DialTCP(ctx, address)
					return &countedConn{conn, &bytes}, err
				}
				g.start(peer, Options{Dial: dial}, false)
			}
			g.mustApply("a", 1)
			time.Sleep(time.Second)
			b.ResetTimer()
			before, cpu := bytes.Load(), cpuTime(b)
			for range b.N {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(bytes.Load()-before)/seconds, "bytes/s")
			b.ReportMetric((cpuTime(b)-cpu).Seconds()*1000/seconds, "cpu-ms/s")
		})
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCommitAcrossRegions commits tickets with a one-way delay between
// replicas, as between regions.
func BenchmarkCommitAcrossRegions(b *testing.B) {
	for _, delay := range []time.Duration{0, 8 * time.Millisecond, 20 * time.Millisecond} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("delay=%v/callers=%d", delay, callers), func(b *testing.B) {
				g := newGroup(b, "a", "b", "c")
				g.replication = settings.DefaultControl().Replication
				for _, peer := range g.members {
					g.start(peer, Options{Dial: delayedDialer(delay)}, false)
				}
				g.mustApply("a", 1)
				measureCommits(b, g, callers)
			})
		}
	}
}

// delayedDialer dials connections that delay the data in both directions.
func delayedDialer(delay time.Duration) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		if err != nil || delay == 0 {
			return conn, err
		}
		near, far := net.Pipe()
		go copyDelayed(far, conn, delay)
		go copyDelayed(conn, far, delay)
		return near, nil
	}
}

type delayedChunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies data from one connection to another, each read after the
// delay.
func copyDelayed(to, from net.Conn, delay time.Duration) {
	queue := make(chan delayedChunk, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			queue <- delayedChunk{buf[:n], time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// BenchmarkTicketPropagation reports the time from the leader's acceptance of a
// ticket until a long poll at a follower returns.
func BenchmarkTicketPropagation(b *testing.B) {
	g := newGroup(b, "a", "b", "c")
	g.replication = settings.DefaultControl().Replication
	g.startAll()
	g.mustApply("a", 1)
	leader := g.leader()
	follower := g.other(leader)
	g.waitUntilCurrent(follower, 1)
	var total, longest time.Duration
	b.ResetTimer()
	for i := range b.N {
		version := uint64(i + 1)
		seen := make(chan time.Time, 1)
		go func() {
			_, _ = g.fetch(follower, controlrpc.FetchArgs{Since: version, WaitMS: 4000})
			seen <- time.Now()
		}()
		g.mustApply(leader, version+1)
		accepted := time.Now()
		delay := max(0, (<-seen).Sub(accepted))
		total += delay
		longest = max(longest, delay)
	}
	b.ReportMetric(float64(total.Microseconds())/float64(b.N)/1000, "ms/ticket")
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
}
