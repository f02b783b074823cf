// Package faults holds the tests that run the real processes on loopback, kill
// them, stop and continue them and cut them off from each other, and check the
// histories of what was answered. They are built with the tag faults and need
// the programs in bin/; make faults does both.
package faults
