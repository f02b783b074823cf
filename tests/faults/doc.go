// Package faults tests the real processes on loopback. The tests kill, suspend
// and disconnect processes and check the histories of the replies that clients
// got. They need the build tag faults and the programs in bin/; make faults
// provides both.
package faults
