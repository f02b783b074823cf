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

// noSpan is the span of a call that belongs to no trace: the traffic that the
// processes keep up among themselves would drown the requests.
var noSpan = trace.SpanFromContext(context.Background())

// startClientSpan starts the span of a call as its caller sees it.
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

// startServerSpan starts the span of a call as its server sees it, under the
// caller's, and makes it the parent of what the method does.
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

func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

func extract(traceparent string) context.Context {
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	return propagation.TraceContext{}.Extract(context.Background(), carrier)
}

func inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// envelopeOf returns the field Envelope of the structure that args points to,
// nil when it has none.
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

// withEnvelope returns a copy of args whose envelope is filled from ctx. It is
// a copy, since the caller may send the same arguments to many peers at once.
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
