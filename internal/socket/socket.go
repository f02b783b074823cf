// Package socket tells what the kernel holds for a socket that the process has not taken yet:
// connections to accept and bytes to read. A server that stops has to take both before it
// closes the socket, because closing resets the connections and discards their requests.
package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// checkInterval is the time between two looks for connections to accept.
const checkInterval = 10 * time.Millisecond

// AwaitAccepted waits until no connection waits to be accepted from a listener, or ctx ends.
// The caller goes on accepting meanwhile. A listener that gives no access to its socket is not
// waited for. The end of ctx is no error; a listener that is closed is one.
func AwaitAccepted(ctx context.Context, listener net.Listener) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		waiting, err := hasConnection(listener)
		if !waiting || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func hasConnection(listener net.Listener) (bool, error) {
	found := false
	var pollErr error
	err := control(listener, func(fd uintptr) { found, pollErr = isReadable(int32(fd)) })
	if errors.Is(err, errors.ErrUnsupported) {
		return false, nil
	}
	if err = errors.Join(err, pollErr); err != nil {
		return false, fmt.Errorf("look for connections to accept: %w", err)
	}
	return found, nil
}

// isReadable reports whether a read from a descriptor, or an accept, would not block.
func isReadable(fd int32) (bool, error) {
	descriptors := []unix.PollFd{{Fd: fd, Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(descriptors, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0 && descriptors[0].Revents&unix.POLLIN != 0, err
		}
	}
}

// HasInput reports whether there are bytes to read from a connection. The end of the stream
// is none, and a connection that is closed or gives no access to its socket has none.
func HasInput(conn net.Conn) bool {
	found := false
	err := control(conn, func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = peekErr == nil && n > 0
	})
	return err == nil && found
}

// control calls f with the descriptor of a socket. It returns errors.ErrUnsupported if there is
// no access to that.
func control(socket any, f func(fd uintptr)) error {
	withSyscall, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	rawConn, err := withSyscall.SyscallConn()
	if err != nil {
		return err
	}
	return rawConn.Control(f)
}
