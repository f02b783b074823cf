// Package quota decides which requests of client accounts with a quota an entry node may send.
// Each needs a token. The leader of the control group grants tokens, which are valid for a short
// time from when the node asked; the node asks ahead of the demand that it expects.
//
// Times are those of a clock that also counts while the machine is suspended: a node that was
// must find its tokens expired.
package quota
