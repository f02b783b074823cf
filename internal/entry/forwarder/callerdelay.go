package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is what is known about a caller's connection.
type callerConn struct {
	// roundTrip is the time of the handshake's round trip, 0 if unknown.
	roundTrip time.Duration
	requests  atomic.Int64
}

type callerConnKey struct{}

// withCallerConn adds a caller's new connection to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{roundTrip: measuredRoundTrip(conn)})
}

// callerDelay returns how much of a response's time to the caller is spent on the
// network, 0 if unknown: a round trip, and another one for opening the connection if the
// request is the first on it.
func callerDelay(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.roundTrip
	}
	return c.roundTrip
}

// measuredRoundTrip returns the kernel's estimate of a connection's round trip, 0 if it
// has none.
func measuredRoundTrip(conn net.Conn) time.Duration {
	withSyscall, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	rawConn, err := withSyscall.SyscallConn()
	if err != nil {
		return 0
	}
	roundTrip := time.Duration(0)
	err = rawConn.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr == nil {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return roundTrip
}
