package driver

import (
	"context"
	"errors"
	"net"
	"sync"

	"wigeonbay/internal/wire"
)

// network is the network between replicas, which are identified by address. It
// can disconnect a replica.
type network struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn][2]string
}

func newNetwork() *network {
	return &network{cut: map[string]bool{}, conns: map[net.Conn][2]string{}}
}

var errCut = errors.New("replica is disconnected")

// dialer returns the dial function of the replica with address from.
func (n *network) dialer(from string) wire.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.isCut(from, to) {
			return nil, errCut
		}
		conn, err := wire.DialTCP(ctx, to)
		if err == nil {
			n.mu.Lock()
			n.conns[conn] = [2]string{from, to}
			n.mu.Unlock()
		}
		return conn, err
	}
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[a] || n.cut[b]
}

// isolate disconnects a replica from the others; clients can still reach it.
func (n *network) isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
	for conn, ends := range n.conns {
		if ends[0] == address || ends[1] == address {
			_ = conn.Close()
			delete(n.conns, conn)
		}
	}
}

func (n *network) heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, address)
}
