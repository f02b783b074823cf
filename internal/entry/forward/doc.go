// Package forward decides how an entry node forwards requests whose content it
// does not interpret: which pool and target gets each, when it is retried or
// hedged, when a partial answer is returned, and when it is refused. It performs
// no I/O and reads no clock; package forwarder carries out its effects.
//
// A request on a plain route has one part, sent to one pool. A request on a gather
// route has one part for each pool, and its answer is merged from their replies.
package forward
