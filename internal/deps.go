// Package internal names the modules that packages on their way to main need.
package internal

import (
	// Keep the versions in go.mod while the packages that use them are being merged.
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/yamux"
	_ "github.com/labstack/echo/v4"
	_ "github.com/olekukonko/tablewriter"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/qmuntal/stateless"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/tidwall/gjson"
	_ "github.com/tidwall/sjson"
	_ "github.com/tmaxmax/go-sse"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
)
