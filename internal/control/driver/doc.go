// Package driver runs a control replica: it executes the effects of package
// replica over net/rpc and the write-ahead log, applies the committed log to
// the state machine, and serves the methods of package controlrpc.
//
// One goroutine, the loop, owns the protocol state and handles all events in
// order. Other goroutines apply committed entries, write to the disk, with one
// sync for several writes, and send messages, one for each peer address. None
// of them waits for another while it holds a lock.
package driver
