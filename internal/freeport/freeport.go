// Package freeport allocates loopback addresses for tests whose processes must know
// each other's addresses before the first of them listens.
package freeport

import (
	"fmt"
	"net"
	"sync"
)

const (
	// firstPort and lastPort bound the range. It lies below the ports that the
	// kernel assigns to outgoing connections and to listeners on port 0 (32,768 and
	// up), one of which could otherwise take the port of a process while it
	// restarts.
	firstPort = 12_000
	lastPort  = 19_999
	// blockPorts is the number of ports in a block, which an allocator claims as a
	// whole. A listener on the first port of the block is the claim.
	blockPorts = 50
)

// Allocator returns each address once and shares the range of ports with other
// allocators, also in other processes.
type Allocator struct {
	mu sync.Mutex
	// claims holds the listeners on the first ports of the claimed blocks.
	claims []net.Listener
	// nextPort and endPort bound the unused ports of the latest block. nextBlock is
	// the number of the next block to try.
	nextPort, endPort, nextBlock int
}

// defaultAllocator is used by Address.
var defaultAllocator Allocator

// Address returns a loopback address that nothing listens on and that no other call
// returns, in this process or another.
func Address() (string, error) { return defaultAllocator.Address() }

// Address returns a loopback address that nothing listens on and that no other call
// returns, in this process or another.
func (a *Allocator) Address() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for a.nextPort < a.endPort {
			address := loopbackAddress(a.nextPort)
			a.nextPort++
			if isFree(address) {
				return address, nil
			}
		}
		if err := a.claim(); err != nil {
			return "", err
		}
	}
}

// claim claims the next block whose first port is free, which means that no other
// allocator has claimed it.
func (a *Allocator) claim() error {
	const blocks = (lastPort - firstPort + 1) / blockPorts
	for a.nextBlock < blocks {
		first := firstPort + a.nextBlock*blockPorts
		a.nextBlock++
		listener, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // in use, usually by another allocator
		}
		a.claims = append(a.claims, listener)
		a.nextPort, a.endPort = first+1, first+blockPorts
		return nil
	}
	return fmt.Errorf("all ports from %d to %d are claimed", firstPort, lastPort)
}

// Close releases the blocks of the allocator.
func (a *Allocator) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, claim := range a.claims {
		if err := claim.Close(); err != nil {
			return fmt.Errorf("release a block of ports: %w", err)
		}
	}
	a.claims, a.nextPort, a.endPort = nil, 0, 0
	return nil
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
