// Package wire implements net/rpc between the project's own processes. The client
// keeps one connection for each peer, monitors it with pings, and sends the caller's
// deadline and trace context with every call. The server limits message sizes and
// waiting times. Both support plain TCP and mutual TLS.
package wire

import (
	"context"
	"time"
)

// Envelope holds the caller's deadline and trace context, which net/rpc itself doesn't
// transmit. Argument types contain it in a field named Envelope, which Client.Call
// fills.
type Envelope struct {
	// TimeoutMS is the time to the caller's deadline when the call was made, in
	// milliseconds; 0 means that there is no deadline.
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

// maxEnvelopeTimeout is the longest timeout taken from an envelope. Longer ones would
// overflow time.Duration.
const maxEnvelopeTimeout = time.Hour

// Context returns a context with the envelope's deadline and trace context,
// bounded by fallback when the envelope has no deadline.
func (e Envelope) Context(fallback time.Duration) (context.Context, context.CancelFunc) {
	const longest = int64(maxEnvelopeTimeout / time.Millisecond)
	timeout := time.Duration(min(e.TimeoutMS, longest)) * time.Millisecond
	if timeout <= 0 {
		timeout = fallback
	}
	return context.WithTimeout(extract(e.Traceparent), timeout)
}
