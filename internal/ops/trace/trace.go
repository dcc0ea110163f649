// Package trace sets up tracing with OpenTelemetry. Each hop of a request has a
// span. The spans of a configured ratio of requests are exported by OTLP over
// HTTP or written as JSON lines. Spans contain ids, names and sizes, never the
// content or the keys of a request.
package trace

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Config configures tracing.
type Config struct {
	// Host and Zone are attributes of all spans.
	Host, Zone string
	// SampleRatio is the ratio, from 0 to 1, of traced requests among those that arrive without a trace context. For the
	// others the sampling decision of the caller applies.
	SampleRatio float64
	// Endpoint is the URL of an OTLP receiver. If it is empty, spans are written to Writer.
	Endpoint string
	// Writer receives the spans as JSON lines. If it is nil and Endpoint is empty, tracing is off.
	Writer io.Writer
}

// ConfigError reports an invalid setting and how to correct it.
type ConfigError struct{ Problem, Remedy string }

func (e *ConfigError) Error() string { return "tracing: " + e.Problem + "; " + e.Remedy }

// Start sets the global tracer provider. The returned function flushes buffered spans and shuts the provider down.
func Start(ctx context.Context, cfg Config) (stop func(context.Context) error, err error) {
	if cfg.SampleRatio < 0 || cfg.SampleRatio > 1 {
		return nil, &ConfigError{"the sample ratio is not between 0 and 1", "set --trace-sample to a ratio such as 0.01"}
	}
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "shallotramp"),
			attribute.String("host.name", cfg.Host),
			attribute.String("cloud.availability_zone", cfg.Zone))))
	otel.SetTracerProvider(p)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return p.Shutdown, nil
}

// newExporter returns the exporter for cfg, nil if tracing is off.
func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.Endpoint != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		return e, errors.Wrap(err, "the OTLP exporter cannot be created; check --trace-endpoint")
	case cfg.Writer != nil:
		return stdouttrace.New(stdouttrace.WithWriter(cfg.Writer))
	}
	return nil, nil
}
