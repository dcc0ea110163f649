package edge

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the counters and latency histograms of an [Edge].
type meters struct {
	set                               *metrics.Set
	dialed, dialFailed, left, aborted *metrics.Counter
}

func newMeters() *meters {
	s := metrics.NewSet()
	return &meters{
		set:    s,
		dialed: s.NewCounter(`shallotramp_connections_total{result="opened"}`), dialFailed: s.NewCounter(`shallotramp_connections_total{result="failed"}`),
		left: s.NewCounter("shallotramp_callers_left_total"), aborted: s.NewCounter("shallotramp_streams_aborted_total"),
	}
}

func (m *meters) answered(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shallotramp_answers_total{status="%d"}`, status)).Inc()
}

func (m *meters) took(route string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shallotramp_answer_seconds{route=%q}`, route)).Update(d.Seconds())
}

func (m *meters) began(route string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shallotramp_first_event_seconds{route=%q}`, route)).Update(d.Seconds())
}

// WriteMetrics writes the counters and histograms in the text format of Prometheus.
func (e *Proxy) WriteMetrics(w io.Writer) { e.metrics.set.WritePrometheus(w) }
