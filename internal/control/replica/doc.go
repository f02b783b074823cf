// Package replica is the replication protocol of the control group as a pure
// step function: events in, effects out, without clock, I/O or goroutine.
//
// It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", USENIX ATC 2014) with the pre-vote (Ongaro, "Consensus:
// Bridging Theory and Practice", Stanford 2014, section 9.6), the single-server
// membership change (section 4.1, with the rule that a leader first commits an
// entry of its own term) and the quorum-confirmed read (section 6.4). Beyond
// Raft, a replica is named by its id and the incarnation kept on its disk, so
// that a replica that lost its disk is another replica.
package replica
