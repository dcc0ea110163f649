package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	enginefake "shallotramp/internal/engine/fake"
)

// open sends a chat request and returns after the first byte of the answer's body.
func open(tb testing.TB, base, body string) (io.ReadCloser, time.Duration) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secretA)
	begun := time.Now()
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		tb.Fatal(err)
	}
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		tb.Fatal(res.Status, string(b))
	}
	if _, err := res.Body.Read(make([]byte, 1)); err != nil {
		tb.Fatal(err)
	}
	return res.Body, time.Since(begun)
}

// BenchmarkFirstToken compares the time to the first event through the host with that of a
// direct call. The calls alternate, so that both see the same machine.
func BenchmarkFirstToken(b *testing.B) {
	bench := newBench(b)
	direct, through := hdrhistogram.New(1, 1e8, 3), hdrhistogram.New(1, 1e8, 3)
	measure := func(base string, h *hdrhistogram.Histogram) {
		body, d := open(b, base, chat("x tokens=1", true))
		_ = h.RecordValue(d.Microseconds())
		_, _ = io.Copy(io.Discard, body)
		_ = body.Close()
	}
	for range 50 { // connections
		measure(bench.upstream, hdrhistogram.New(1, 1e8, 3))
		measure(bench.url, hdrhistogram.New(1, 1e8, 3))
	}
	for b.Loop() {
		measure(bench.upstream, direct)
		measure(bench.url, through)
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	b.ReportMetric(ms(direct, 50), "direct-p50-ms")
	b.ReportMetric(ms(through, 50)-ms(direct, 50), "added-p50-ms")
	b.ReportMetric(ms(direct, 99), "direct-p99-ms")
	b.ReportMetric(ms(through, 99)-ms(direct, 99), "added-p99-ms")
}

// BenchmarkStreaming compares the tokens per second of concurrent streams through one host with
// direct calls. The engines generate as fast as they can write.
func BenchmarkStreaming(b *testing.B) {
	const (
		streams = 16
		tokens  = 2000
	)
	bench := newBench(b)
	for _, e := range bench.engines {
		e.SetFaults(enginefake.Faults{SlowFactor: 1e-9})
	}
	run := func(base string) float64 {
		begun := time.Now()
		done := make(chan struct{})
		for i := range streams {
			go func() {
				body, _ := open(b, base, chat(fmt.Sprintf("s%d tokens=%d", i, tokens), true))
				_, _ = io.Copy(io.Discard, body)
				_ = body.Close()
				done <- struct{}{}
			}()
		}
		for range streams {
			<-done
		}
		return streams * tokens / time.Since(begun).Seconds()
	}
	run(bench.url)
	var direct, through float64
	var before, after runtime.MemStats
	var allocated uint64
	n := 0
	for b.Loop() {
		direct += run(bench.upstream)
		runtime.ReadMemStats(&before)
		through += run(bench.url)
		runtime.ReadMemStats(&after)
		allocated += after.Mallocs - before.Mallocs
		n++
	}
	b.ReportMetric(direct/float64(n), "direct-tokens/s")
	b.ReportMetric(through/float64(n), "through-tokens/s")
	b.ReportMetric(through/direct, "ratio")
	b.ReportMetric(float64(allocated)/float64(n*streams*tokens), "allocs/token-with-stand-in")
}

// BenchmarkOpenStreams measures the memory of 2,000 open streams. The callers and engines run in
// the same process: the same streams without the host are measured first and subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	bench := newBench(b)
	inUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
	}
	measure := func(base string) float64 {
		before := inUse()
		bodies := make([]io.ReadCloser, 0, streams)
		for range streams {
			body, _ := open(b, base, chat("x tokens=1000000", true))
			bodies = append(bodies, body)
		}
		used := inUse() - before
		for _, body := range bodies {
			_ = body.Close()
		}
		waitFor(b, func() bool { return bench.gateway.OpenRequests() == 0 })
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		return used
	}
	for _, e := range bench.engines {
		e.SetFaults(enginefake.Faults{SlowFactor: 200})
	}
	var direct, through float64
	n := 0
	for b.Loop() {
		direct += measure(bench.upstream)
		through += measure(bench.url)
		n++
	}
	b.ReportMetric(direct/float64(n), "direct-MiB")
	b.ReportMetric((through-direct)/float64(n), "host-MiB")
}
