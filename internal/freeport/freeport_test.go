package freeport

import (
	"net"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAddressesAreUnique allocates addresses concurrently from several allocators,
// as different processes do.
func TestAddressesAreUnique(t *testing.T) {
	const allocators, addressesPerAllocator = 4, 200
	var mu sync.Mutex
	seen := map[string]bool{}
	var wg sync.WaitGroup
	for range allocators {
		a := &Allocator{}
		t.Cleanup(func() { assert.NilError(t, a.Close()) })
		wg.Go(func() {
			for range addressesPerAllocator {
				address, err := a.Address()
				mu.Lock()
				assert.Check(t, err)
				assert.Check(t, !seen[address], "%s was allocated twice", address)
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(seen), allocators*addressesPerAllocator)
}

func TestAddressesAreFreeAndInRange(t *testing.T) {
	var a Allocator
	defer func() { assert.NilError(t, a.Close()) }()
	for range 2 * blockPorts {
		address, err := a.Address()
		assert.NilError(t, err)
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number > firstPort && number <= lastPort, address)
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
}

func TestPortsInUseAreSkipped(t *testing.T) {
	var a Allocator
	defer func() { assert.NilError(t, a.Close()) }()
	first, err := a.Address()
	assert.NilError(t, err)
	_, port, err := net.SplitHostPort(first)
	assert.NilError(t, err)
	number, err := strconv.Atoi(port)
	assert.NilError(t, err)
	occupied, err := net.Listen("tcp", loopbackAddress(number+1))
	assert.NilError(t, err)
	defer occupied.Close()
	second, err := a.Address()
	assert.NilError(t, err)
	assert.Assert(t, second != occupied.Addr().String())
}
