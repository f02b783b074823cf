// Package searcher is a small stand-in for a target: a searcher that holds
// shards of a generated catalogue and serves them over HTTP/1.1. It has slots,
// a bounded queue, a connection limit, a cold start, deadlines, cancellation
// and a drain, announces itself to entry nodes, and can be made to misbehave
// in the ways that targets do. It stands for software outside the system, for
// demos, tests and experiments.
package searcher
