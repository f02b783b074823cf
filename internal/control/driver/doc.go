// Package driver runs a control replica: it carries out the effects of package
// replica over net/rpc and the write-ahead log, feeds the committed log to the
// state machine, and serves the methods of package controlrpc.
//
// One goroutine owns the protocol's state and takes every event in turn; one
// writes to the disk, many writes with one sync; one for each other replica
// sends messages. None of them waits for another while it holds a lock.
package driver
