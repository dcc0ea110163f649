// Package log writes the log lines of a process without blocking it. Lines for a
// slow reader wait in a bounded buffer. Lines about requests are rate limited,
// so that a high request rate does not flood the log. Dropped lines are counted.
package log

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines limits the lines that wait for a slow reader. It is enough for some seconds of a busy host and uses
	// less than a megabyte.
	maxBufferedLines = 2048
	// maxRequestLinesPerSecond limits the lines about requests at debug and at info level. It allows three lines for each
	// of 300 requests per second, more than the largest host serves.
	maxRequestLinesPerSecond = 1000
	// maxRequestWarningsPerSecond limits the lines about requests at warning and at error level. They do not count towards
	// the limit of the other lines.
	maxRequestWarningsPerSecond = 200
)

// Log holds the loggers of a process. Create it with [New].
type Log struct {
	// Process is for lines about the process itself. They are dropped only if the reader is too slow.
	Process zerolog.Logger
	// Requests is for lines about requests. They are rate limited.
	Requests zerolog.Logger

	out             io.Closer
	metricSet       *metrics.Set
	slowReaderDrops *metrics.Counter
	rateLimitDrops  *metrics.Counter
}

// New returns a Log that writes lines of the given level and above to w.
func New(w io.Writer, level zerolog.Level) *Log {
	set := metrics.NewSet()
	l := &Log{
		metricSet:       set,
		slowReaderDrops: set.NewCounter(`shallotramp_log_lines_dropped_total{cause="slow reader"}`),
		rateLimitDrops:  set.NewCounter(`shallotramp_log_lines_dropped_total{cause="many requests"}`),
	}
	out := diode.NewWriter(w, maxBufferedLines, 0, func(missed int) { l.slowReaderDrops.Add(missed) })
	l.out = out
	l.Process = zerolog.New(out).Level(level).With().Timestamp().Logger()
	l.Requests = l.Process.Sample(zerolog.LevelSampler{
		DebugSampler: l.limitPerSecond(maxRequestLinesPerSecond), InfoSampler: l.limitPerSecond(maxRequestLinesPerSecond),
		WarnSampler: l.limitPerSecond(maxRequestWarningsPerSecond), ErrorSampler: l.limitPerSecond(maxRequestWarningsPerSecond),
	})
	return l
}

// limitPerSecond returns a sampler that passes n lines per second and counts the rest as dropped.
func (l *Log) limitPerSecond(n uint32) zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: n, Period: time.Second, NextSampler: dropCounter{l.rateLimitDrops}}
}

// dropCounter is a sampler that drops and counts each line.
type dropCounter struct{ n *metrics.Counter }

// Sample implements [zerolog.Sampler].
func (c dropCounter) Sample(zerolog.Level) bool {
	c.n.Inc()
	return false
}

// WriteMetrics writes the counters of dropped lines in the Prometheus text format.
func (l *Log) WriteMetrics(w io.Writer) { l.metricSet.WritePrometheus(w) }

// Close writes the lines that are still buffered.
func (l *Log) Close() error { return l.out.Close() }
