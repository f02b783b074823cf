// Package replica implements the replication protocol of the control group as a
// pure step function: it takes events and returns effects, and uses no clock,
// I/O or goroutines.
//
// It follows Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", USENIX ATC 2014) with the pre-vote (Ongaro, "Consensus:
// Bridging Theory and Practice", Stanford 2014, section 9.6; cited in this
// package as the thesis), the single-server membership change (section 4.1,
// with the rule that a leader first commits an entry of its own term) and the
// quorum-confirmed read (section 6.4). Unlike in Raft, a replica is identified
// by its ID and the incarnation stored on its disk, so that a replica that lost
// its disk counts as a different replica.
package replica
