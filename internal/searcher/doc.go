// Package searcher implements a simulated target for demos, tests and
// experiments; real targets are software outside this system. A searcher holds
// shards of a generated catalogue and serves searches of them over HTTP/1.1. It
// announces itself to entry nodes and has concurrency slots, a bounded queue, a
// connection limit, a cold start, deadlines, cancellation and draining. It can
// also inject faults of real targets, such as slow service, load shedding,
// silent connections and wrong load reports.
package searcher
