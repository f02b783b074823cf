// Package testbed runs entry nodes and simulated searchers in one process, for
// experiments. They use HTTP over loopback, with configurable slots, connection
// limits and delays. There are no control processes.
package testbed
