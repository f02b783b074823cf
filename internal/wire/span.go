package wire

import (
	"context"
	"reflect"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	tracerName = "wigeonbay/internal/wire"
	rpcSystem  = "net_rpc"
)

// noSpan is the span of a call that belongs to no trace. Such calls aren't traced,
// since the background traffic between the processes would outnumber the requests.
var noSpan = trace.SpanFromContext(context.Background())

// startClientSpan starts the client span of a call.
func startClientSpan(ctx context.Context, method, address string) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, noSpan
	}
	return otel.Tracer(tracerName).Start(ctx, method,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("rpc.system", rpcSystem),
			attribute.String("server.address", address),
		))
}

// startServerSpan starts the server span of a call as a child of the caller's span.
// If the span is recorded, it replaces the trace context in the envelope, so that
// spans of the method become children of the server span.
func startServerSpan(method string, args any) trace.Span {
	envelope := envelopeOf(reflect.ValueOf(args))
	if envelope == nil || envelope.Traceparent == "" {
		return noSpan
	}
	ctx, span := otel.Tracer(tracerName).Start(extract(envelope.Traceparent), method,
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("rpc.system", rpcSystem)))
	if span.IsRecording() {
		envelope.Traceparent = inject(ctx)
	}
	return span
}

// endSpan ends span, with an error status if err is not nil.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// extract returns a context with the trace context of a traceparent value.
func extract(traceparent string) context.Context {
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

// inject returns the traceparent value for the trace context of ctx.
func inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// envelopeOf returns the Envelope field of the struct that args points to, or nil if
// it has none.
func envelopeOf(args reflect.Value) *Envelope {
	if args.Kind() != reflect.Pointer || args.IsNil() || args.Elem().Kind() != reflect.Struct {
		return nil
	}
	field := args.Elem().FieldByName("Envelope")
	if !field.IsValid() || field.Type() != reflect.TypeFor[Envelope]() {
		return nil
	}
	return field.Addr().Interface().(*Envelope)
}

// withEnvelope returns a copy of args with its envelope filled from ctx. It doesn't
// modify args, since the caller may send them to several peers concurrently.
func withEnvelope(ctx context.Context, args any) any {
	original := reflect.Indirect(reflect.ValueOf(args))
	if original.Kind() != reflect.Struct {
		return args
	}
	copied := reflect.New(original.Type())
	copied.Elem().Set(original)
	if envelope := envelopeOf(copied); envelope != nil {
		*envelope = NewEnvelope(ctx)
	}
	return copied.Interface()
}
