// Package forward decides what becomes of requests that an entry node passes on
// unread: which pool and target gets each, when a second target is asked, when
// an answer is given with what is there, and when a request is refused. It is
// pure; the driver of package entry carries out its effects.
//
// A request on a plain route has one part. A request on a gather route has one
// part for each pool, and its answer is merged from the parts' replies.
package forward
