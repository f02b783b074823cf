// Package load sends searches and submits to entry nodes on an open-loop schedule
// and checks every search answer against the generated catalogue.
//
// Latency is measured from the scheduled start of a request, not from the time
// when it was sent. A stall of the system doesn't delay later arrivals and shows
// in the latencies of all requests that it affects, which avoids coordinated
// omission.
package load
