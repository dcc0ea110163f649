// Package trace sets up tracing: a span for each hop of a request, sampled at a
// set share, exported by OTLP over HTTP or written as JSON lines. Spans hold ids,
// names and sizes, never content or keys of a request.
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

// Config holds the settings of tracing.
type Config struct {
	// Host and Zone are attributes of all spans.
	Host, Zone string
	// SampleRatio is the share of requests without a caller's trace that are traced, 0 to 1. A caller's own
	// decision is kept.
	SampleRatio float64
	// Endpoint is the URL of an OTLP receiver; empty writes spans to Writer.
	Endpoint string
	// Writer takes JSON lines; nil with an empty Endpoint turns tracing off.
	Writer io.Writer
}

// ConfigError is a setting that cannot be used.
type ConfigError struct{ Problem, Remedy string }

func (e *ConfigError) Error() string { return "tracing: " + e.Problem + "; " + e.Remedy }

// Start sets the process's tracer provider. The returned function flushes and ends it.
func Start(ctx context.Context, cfg Config) (stop func(context.Context) error, err error) {
	if cfg.SampleRatio < 0 || cfg.SampleRatio > 1 {
		return nil, &ConfigError{"the share of sampled requests is not between 0 and 1", "set --trace-sample to a share such as 0.01"}
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

func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.Endpoint != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		return e, errors.Wrap(err, "the trace receiver cannot be used; check --trace-endpoint")
	case cfg.Writer != nil:
		return stdouttrace.New(stdouttrace.WithWriter(cfg.Writer))
	}
	return nil, nil
}
