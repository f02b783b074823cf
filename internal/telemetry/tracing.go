package telemetry

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// traceDelay is the longest time for which a finished span is buffered.
const traceDelay = time.Second

// StopTracing flushes the buffered spans and closes the trace file.
type StopTracing func(context.Context) error

// StartTracing appends the spans of the process to file as JSON lines. An empty file
// name disables the spans; W3C trace contexts are propagated in any case. Every span
// carries the names of the process, its VM and its data centre.
func StartTracing(process, id, dataCentre, file string) (StopTracing, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if file == "" {
		return func(context.Context) error { return nil }, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("export traces: %w", err), out.Close())
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter, trace.WithBatchTimeout(traceDelay)),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", process),
			attribute.String("service.instance.id", id),
			attribute.String("cloud.availability_zone", dataCentre),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		return errors.Join(provider.Shutdown(ctx), out.Close())
	}, nil
}
