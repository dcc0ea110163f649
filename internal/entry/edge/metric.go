package edge

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// proxyMetrics holds the counters and latency histograms of a [Proxy].
type proxyMetrics struct {
	set                                             *metrics.Set
	dialed, dialFailed, callersLeft, streamsAborted *metrics.Counter
}

func newProxyMetrics() *proxyMetrics {
	s := metrics.NewSet()
	return &proxyMetrics{
		set:    s,
		dialed: s.NewCounter(`shallotramp_connections_total{result="opened"}`), dialFailed: s.NewCounter(`shallotramp_connections_total{result="failed"}`),
		callersLeft: s.NewCounter("shallotramp_callers_left_total"), streamsAborted: s.NewCounter("shallotramp_streams_aborted_total"),
	}
}

func (m *proxyMetrics) countResponse(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shallotramp_answers_total{status="%d"}`, status)).Inc()
}

func (m *proxyMetrics) observeDuration(route string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shallotramp_answer_seconds{route=%q}`, route)).Update(d.Seconds())
}

func (m *proxyMetrics) observeFirstEvent(route string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shallotramp_first_event_seconds{route=%q}`, route)).Update(d.Seconds())
}

// WriteMetrics writes the counters and histograms in the Prometheus text format.
func (p *Proxy) WriteMetrics(w io.Writer) { p.metrics.set.WritePrometheus(w) }
