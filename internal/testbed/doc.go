// Package testbed runs entry nodes and stand-in searchers in one process, for
// experiments: real HTTP over loopback, with the users' slots, connection
// limits and delays, and no control processes.
package testbed
