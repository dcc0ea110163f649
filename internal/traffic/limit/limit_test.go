package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
)

var start = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

func snapshot(l object.LimitSpec) *release.Snapshot {
	set := object.NewSet()
	l.Name = "limit"
	set.Limits[l.Name] = &l
	set.Organisations["org"] = &object.OrganisationSpec{Name: "org", Limit: l.Name}
	set.Organisations["free"] = &object.OrganisationSpec{Name: "free"}
	return release.NewSnapshot(1, "test", set)
}

// fleet simulates several hosts that report their demand to each other every 250 ms. Each report
// arrives at the next exchange after the one for which it was made.
type fleet struct {
	hosts    []*Limiter
	rng      *rand.Rand
	now      time.Time
	inFlight [][]map[string]dispatch.Demand
	// connected reports whether host a receives the reports of host b.
	connected func(a, b int) bool
	// admitted and tokens hold the requests and tokens admitted in each second; streamEnds holds the hosts
	// of the streams that end at a time.
	admitted, tokens    []float64
	streamEnds          map[time.Time][]int
	streams, maxStreams int
}

func newFleet(n int, l object.LimitSpec) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 1)), now: start, connected: func(int, int) bool { return true }, streamEnds: map[time.Time][]int{}}
	for range n {
		h := New()
		h.Configure(snapshot(l))
		f.hosts = append(f.hosts, h)
	}
	return f
}

const step = 10 * time.Millisecond

// run simulates the time d. rates holds the requests per second that arrive at each host; each request
// uses tokens and its stream lasts for length.
func (f *fleet) run(d time.Duration, rates []float64, tokens float64, length time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, h := range f.streamEnds[f.now] {
			f.hosts[h].Done("org", 0)
			f.streams--
		}
		delete(f.streamEnds, f.now)
		if f.now.Sub(start)%(250*time.Millisecond) == 0 {
			f.exchange()
		}
		second := int(f.now.Sub(start) / time.Second)
		for len(f.admitted) <= second {
			f.admitted, f.tokens = append(f.admitted, 0), append(f.tokens, 0)
		}
		for h, r := range rates {
			if f.rng.Float64() < r*step.Seconds() {
				f.offer(h, second, tokens, length)
			}
		}
	}
}

func (f *fleet) offer(h, second int, tokens float64, length time.Duration) {
	if !f.hosts[h].Admit(f.now, "org", tokens).Admitted {
		return
	}
	f.admitted[second]++
	f.tokens[second] += tokens
	f.streams++
	f.maxStreams = max(f.maxStreams, f.streams)
	at := f.now.Add(length)
	f.streamEnds[at] = append(f.streamEnds[at], h)
}

// exchange collects the reports of all hosts and delivers those of the exchange before.
func (f *fleet) exchange() {
	var reports []map[string]dispatch.Demand
	for _, h := range f.hosts {
		reports = append(reports, h.Demand(f.now))
	}
	f.inFlight = append(f.inFlight, reports)
	if len(f.inFlight) < 2 {
		return
	}
	for a, h := range f.hosts {
		for b := range f.hosts {
			if a != b && f.connected(a, b) {
				h.UpdatePeer(f.now, string(rune('a'+b)), 1, f.inFlight[0][b])
			}
		}
		h.ExpirePeers(f.now)
	}
	f.inFlight = f.inFlight[1:]
}

// maxWindowSum returns the largest sum of window consecutive elements of list between the indexes first
// and last.
func maxWindowSum(list []float64, window, first, last int) float64 {
	var out float64
	for i := first; i+window <= last; i++ {
		var sum float64
		for _, n := range list[i : i+window] {
			sum += n
		}
		out = math.Max(out, sum)
	}
	return out
}

func sumOf(list []float64) float64 { return maxWindowSum(list, len(list), 0, len(list)) }

func TestLimitsHoldOverHosts(t *testing.T) {
	tests := map[string]struct {
		limit object.LimitSpec
		rates []float64
	}{
		"requests with even demand":   {object.LimitSpec{RequestsPerSecond: 20}, []float64{10, 10, 10, 10, 10, 10}},
		"requests with skewed demand": {object.LimitSpec{RequestsPerSecond: 20}, []float64{50, 5, 1, 1, 1, 0}},
		"requests at one host only":   {object.LimitSpec{RequestsPerSecond: 20}, []float64{60, 0, 0, 0, 0, 0}},
		"tokens with even demand":     {object.LimitSpec{TokensPerMinute: 60000}, []float64{5, 5, 5, 5, 5, 5}},
		"tokens with skewed demand":   {object.LimitSpec{TokensPerMinute: 60000}, []float64{20, 5, 1, 1, 1, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(6, test.limit)
			f.run(2*time.Minute, test.rates, 100, time.Second)
			got, want := f.admitted, 10*test.limit.RequestsPerSecond
			if test.limit.TokensPerMinute > 0 {
				got, want = f.tokens, test.limit.TokensPerMinute/6
			}
			most, mean := maxWindowSum(got, 10, 30, 120), sumOf(got[30:120])/9
			// The documented error is 10% over ten seconds. With demand at one host only, up to an eighth of
			// the limit remains unused in addition.
			if most > 1.1*want || mean < 0.8*want {
				t.Errorf("in 10 s at most %.0f and on average %.0f were admitted, the limit is %.0f", most, mean, want)
			}
		})
	}
}

func TestLimitFollowsDemandThatMoves(t *testing.T) {
	f := newFleet(6, object.LimitSpec{RequestsPerSecond: 20})
	f.run(time.Minute, []float64{60, 0, 0, 0, 0, 0}, 100, time.Second)
	f.run(time.Minute, []float64{0, 0, 0, 0, 0, 60}, 100, time.Second)
	if most := maxWindowSum(f.admitted, 10, 30, 120); most > 1.1*200 {
		t.Errorf("%.0f admitted in 10 s, the limit is 200", most)
	}
	if mean := sumOf(f.admitted[90:120]) / 3; mean < 0.8*200 {
		t.Errorf("%.0f admitted in 10 s after demand moved to another host, the limit is 200", mean)
	}
}

func TestCutOffHostsKeepTheirShares(t *testing.T) {
	f := newFleet(6, object.LimitSpec{RequestsPerSecond: 20})
	rates := []float64{10, 10, 10, 10, 10, 10}
	f.run(time.Minute, rates, 100, time.Second)
	f.connected = func(a, b int) bool { return (a < 2) == (b < 2) }
	f.run(5*time.Minute, rates, 100, time.Second)
	if most := maxWindowSum(f.admitted, 10, 30, 360); most > 1.1*200 {
		t.Errorf("%.0f admitted in 10 s, the limit is 200", most)
	}
}

func TestStreamsHoldOverHosts(t *testing.T) {
	f := newFleet(6, object.LimitSpec{Streams: 12})
	rates := []float64{10, 4, 4, 4, 1, 1}
	// Until the first reports arrive, each host grants the whole limit.
	f.run(5*time.Second, rates, 100, 2*time.Second)
	f.maxStreams = 0
	f.run(2*time.Minute, rates, 100, 2*time.Second)
	if f.maxStreams > 12+5 {
		t.Errorf("%d streams at once, want at most the limit of 12 and one more for each other host", f.maxStreams)
	}
	if f.streams < 9 {
		t.Errorf("%d streams at the end under full demand, want at least 9 of the limit of 12", f.streams)
	}
}

func TestRefusalTellsWhenToRetry(t *testing.T) {
	l := New()
	l.Configure(snapshot(object.LimitSpec{RequestsPerSecond: 1}))
	if v := l.Admit(start, "org", 1); !v.Admitted || v.Wait != 0 {
		t.Fatalf("first request: %+v", v)
	}
	if v := l.Admit(start, "org", 1); !v.Admitted || v.Wait != time.Second {
		t.Fatalf("second request should wait 1 s: %+v", v)
	}
	if v := l.Admit(start, "org", 1); v.Admitted || v.RetryAfter != 2*time.Second {
		t.Fatalf("third request should be refused with a retry after 2 s: %+v", v)
	}
	if v := l.Admit(start.Add(2*time.Second), "org", 1); !v.Admitted || v.Wait != 0 {
		t.Fatalf("request after the advised time should be admitted: %+v", v)
	}
}

func TestOrganisationWithoutLimit(t *testing.T) {
	l := New()
	l.Configure(snapshot(object.LimitSpec{RequestsPerSecond: 1}))
	for range 1000 {
		if v := l.Admit(start, "free", 1e6); !v.Admitted || v.Wait != 0 {
			t.Fatalf("request of an organisation without a limit was not admitted at once: %+v", v)
		}
	}
}
