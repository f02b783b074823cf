package wire

import (
	"testing"
	"testing/synctest"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
)

// TestCallHasClientAndServerSpan checks that a call within a trace has a client span, a
// server span as its child, and passes the server span on to the method. A failed
// call must set the error status of its spans.
func TestCallHasClientAndServerSpan(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := trace.NewTracerProvider(trace.WithSyncer(exporter))
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	t.Cleanup(func() { otel.SetTracerProvider(before) })
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		ctx, root := otel.Tracer("test").Start(t.Context(), "root")
		reply := &Reply{}
		assert.NilError(t, n.client.Call(ctx, "peer", "Echo.Say", &Args{}, reply))
		root.End()
		spans := exporter.GetSpans()
		assert.Equal(t, len(spans), 3)
		server, client := spans[0], spans[1]
		assert.Equal(t, server.Name, "Echo.Say")
		assert.Equal(t, server.Parent.SpanID(), client.SpanContext.SpanID())
		assert.Equal(t, client.Parent.SpanID(), root.SpanContext().SpanID())
		assert.Equal(t, server.SpanContext.TraceID(), root.SpanContext().TraceID())
		assert.Equal(t, reply.Traceparent[36:52], server.SpanContext.SpanID().String())
		exporter.Reset()
		assert.Check(t, n.client.Call(ctx, "peer", "Echo.Fail", &Args{}, &Reply{}) != nil)
		for _, span := range exporter.GetSpans() {
			assert.Equal(t, span.Status.Code, codes.Error)
		}
	})
}
