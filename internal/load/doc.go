// Package load sends searches and submits to entry nodes at the times of an
// open-loop schedule and checks every answer against the generated catalogue.
//
// Latency counts from the time at which the schedule meant a request to begin,
// not from when it was sent, so a stall of the system delays no later arrival
// and is not hidden (no coordinated omission).
package load
