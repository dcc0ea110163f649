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

// openStream sends a chat request and returns the response body after its first byte, and the time until then.
func openStream(tb testing.TB, base, body string) (io.ReadCloser, time.Duration) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secretA)
	start := time.Now()
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
	return res.Body, time.Since(start)
}

// BenchmarkFirstToken compares the time to the first event through the host with that of a direct request to the
// engine. Both kinds of request alternate, so that they run under the same machine load.
func BenchmarkFirstToken(b *testing.B) {
	gw := newTestGateway(b)
	direct, viaHost := hdrhistogram.New(1, 1e8, 3), hdrhistogram.New(1, 1e8, 3)
	measure := func(base string, h *hdrhistogram.Histogram) {
		body, d := openStream(b, base, chat("x tokens=1", true))
		_ = h.RecordValue(d.Microseconds())
		_, _ = io.Copy(io.Discard, body)
		_ = body.Close()
	}
	for range 50 { // open the connections before the measurement
		measure(gw.engineURL, hdrhistogram.New(1, 1e8, 3))
		measure(gw.url, hdrhistogram.New(1, 1e8, 3))
	}
	for b.Loop() {
		measure(gw.engineURL, direct)
		measure(gw.url, viaHost)
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	b.ReportMetric(ms(direct, 50), "direct-p50-ms")
	b.ReportMetric(ms(viaHost, 50)-ms(direct, 50), "added-p50-ms")
	b.ReportMetric(ms(direct, 99), "direct-p99-ms")
	b.ReportMetric(ms(viaHost, 99)-ms(direct, 99), "added-p99-ms")
}

// BenchmarkStreaming compares the tokens per second of concurrent streams through one host with
// that of direct requests. The engines generate tokens as fast as they can write.
func BenchmarkStreaming(b *testing.B) {
	const (
		streams = 16
		tokens  = 2000
	)
	gw := newTestGateway(b)
	for _, e := range gw.engines {
		e.SetFaults(enginefake.Faults{SlowFactor: 1e-9})
	}
	run := func(base string) float64 {
		start := time.Now()
		done := make(chan struct{})
		for i := range streams {
			go func() {
				body, _ := openStream(b, base, chat(fmt.Sprintf("s%d tokens=%d", i, tokens), true))
				_, _ = io.Copy(io.Discard, body)
				_ = body.Close()
				done <- struct{}{}
			}()
		}
		for range streams {
			<-done
		}
		return streams * tokens / time.Since(start).Seconds()
	}
	run(gw.url)
	var direct, viaHost float64
	var before, after runtime.MemStats
	var allocated uint64
	n := 0
	for b.Loop() {
		direct += run(gw.engineURL)
		runtime.ReadMemStats(&before)
		viaHost += run(gw.url)
		runtime.ReadMemStats(&after)
		allocated += after.Mallocs - before.Mallocs
		n++
	}
	b.ReportMetric(direct/float64(n), "direct-tokens/s")
	b.ReportMetric(viaHost/float64(n), "through-tokens/s")
	b.ReportMetric(viaHost/direct, "ratio")
	b.ReportMetric(float64(allocated)/float64(n*streams*tokens), "allocs/token-with-stand-in")
}

// BenchmarkOpenStreams measures the memory that the host uses for 2,000 open streams. The callers and engines run
// in the same process, so the memory of the same streams without the host is measured first and subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	gw := newTestGateway(b)
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
			body, _ := openStream(b, base, chat("x tokens=1000000", true))
			bodies = append(bodies, body)
		}
		used := inUse() - before
		for _, body := range bodies {
			_ = body.Close()
		}
		waitFor(b, func() bool { return gw.gateway.OpenRequests() == 0 })
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		return used
	}
	for _, e := range gw.engines {
		e.SetFaults(enginefake.Faults{SlowFactor: 200})
	}
	var direct, viaHost float64
	n := 0
	for b.Loop() {
		direct += measure(gw.engineURL)
		viaHost += measure(gw.url)
		n++
	}
	b.ReportMetric(direct/float64(n), "direct-MiB")
	b.ReportMetric((viaHost-direct)/float64(n), "host-MiB")
}
