package trace_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"

	"shallotramp/internal/ops/trace"
)

func TestStart(t *testing.T) {
	for name, tc := range map[string]struct {
		sample float64
		spans  int
		bad    bool
	}{
		"all requests are sampled":     {sample: 1, spans: 3},
		"no request is sampled":        {sample: 0, spans: 0},
		"a ratio above one is refused": {sample: 1.5, bad: true},
	} {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			stop, err := trace.Start(context.Background(), trace.Config{Host: "h", Zone: "z", SampleRatio: tc.sample, Writer: &buf})
			var bad *trace.ConfigError
			if errors.As(err, &bad) != tc.bad {
				t.Fatal(err)
			}
			if tc.bad {
				return
			}
			for range 3 {
				_, span := otel.Tracer("test").Start(context.Background(), "hop")
				span.End()
			}
			if err := stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(buf.String(), `"Name":"hop"`); n != tc.spans {
				t.Errorf("%d spans, want %d", n, tc.spans)
			}
		})
	}
}
