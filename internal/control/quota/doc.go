// Package quota decides which tokens the leader of the control group grants to entry nodes,
// so that the requests of a client account keep within its quota over all nodes together.
//
// A token allows one request and is valid for a short time, which the node counts from when it
// asked. The leader keeps a token bucket for each account. All tokens used in a time of length
// L were granted in a time of length L + validity, so they number at most
// rate x (L + validity) + capacity. Validity and capacity are chosen so that this fits into
// what the rules allow.
//
// Times are those of a clock that also counts while the machine is suspended.
package quota
