// Package membership decides which entry nodes are live and spreads the
// records of targets between them. It is a pure reducer: State.Step takes one
// event, which carries the time, and returns effects for package driver to
// carry out. It reads no clock, does no I/O and starts no goroutine.
//
// Liveness inside a data centre follows SWIM (Das, Gupta and Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002): a direct probe, then indirect probes through other
// members, then a suspicion that the member can refute by a higher
// incarnation. From Lifeguard (Dadgar, Phillips and Currey, 2018) it takes the
// local health score, which delays the suspicions of a node that is itself
// slow, and the buddy system: a probe of a suspected member tells it of the
// suspicion.
//
// Records spread by rumour mongering and anti-entropy (Demers et al., "Epidemic
// Algorithms for Replicated Database Maintenance", PODC 1987): a change is
// pushed at once and pushed again until it is acknowledged or known widely
// enough, and the comparison of digest trees (hash trees over all records)
// repairs what was missed.
package membership
