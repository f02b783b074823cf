// Package wire carries net/rpc between the project's own processes: a client
// that keeps one watched connection per peer and gives every call a deadline
// and a trace context, and a server with bounded sizes and times. Both speak
// plain TCP or mutual TLS.
package wire

import (
	"context"
	"time"
)

// Envelope goes with the arguments of every call, in a field called Envelope,
// which Client.Call fills. net/rpc knows neither deadlines nor trace contexts.
type Envelope struct {
	// TimeoutMS is the time left to the caller when it sent the call, in
	// milliseconds; 0 means none was set.
	TimeoutMS int64
	// Traceparent is the caller's W3C trace context.
	Traceparent string
}

// NewEnvelope returns the envelope for a call made under ctx.
func NewEnvelope(ctx context.Context) Envelope {
	env := Envelope{Traceparent: inject(ctx)}
	if deadline, ok := ctx.Deadline(); ok {
		env.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	return env
}

// Context returns a context with the envelope's deadline and trace context,
// bounded by fallback when the envelope has no deadline.
func (e Envelope) Context(fallback time.Duration) (context.Context, context.CancelFunc) {
	timeout := time.Duration(e.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = fallback
	}
	return context.WithTimeout(extract(e.Traceparent), timeout)
}
