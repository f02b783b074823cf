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

	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// countedConn counts the bytes of a connection in both directions.
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

// BenchmarkIdle reports what an idle group costs with the default times: bytes a
// second between replicas and processor time a second, all replicas together.
// One iteration is one second.
func BenchmarkIdle(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			g := newGroup(b, []string{"a", "b", "c", "d", "e"}[:replicas]...)
			g.times = settings.DefaultControl().Replication
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
			before, cpu := bytes.Load(), processorTime(b)
			for range b.N {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(bytes.Load()-before)/seconds, "bytes/s")
			b.ReportMetric((processorTime(b)-cpu).Seconds()*1000/seconds, "cpu-ms/s")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCommitAcrossRegions commits with a delay each way between replicas,
// as between regions.
func BenchmarkCommitAcrossRegions(b *testing.B) {
	for _, delay := range []time.Duration{0, 8 * time.Millisecond, 20 * time.Millisecond} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("delay=%v/callers=%d", delay, callers), func(b *testing.B) {
				g := newGroup(b, "a", "b", "c")
				g.times = settings.DefaultControl().Replication
				for _, peer := range g.members {
					g.start(peer, Options{Dial: delayed(delay)}, false)
				}
				g.mustApply("a", 1)
				measureCommits(b, g, callers)
			})
		}
	}
}

// delayed dials connections on which everything arrives later by delay.
func delayed(delay time.Duration) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		if err != nil || delay == 0 {
			return conn, err
		}
		near, far := net.Pipe()
		go carry(far, conn, delay)
		go carry(conn, far, delay)
		return near, nil
	}
}

type parcel struct {
	data []byte
	due  time.Time
}

// carry moves bytes from one connection to another, each part after the delay.
func carry(to, from net.Conn, delay time.Duration) {
	queue := make(chan parcel, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			queue <- parcel{buf[:n], time.Now().Add(delay)}
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
