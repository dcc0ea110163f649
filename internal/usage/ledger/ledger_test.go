package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

func readSpec(t testing.TB, st store.Store, incarnation string) *ledger.Spec {
	t.Helper()
	o, err := st.Get(context.Background(), ledger.Kind, incarnation)
	if err != nil {
		t.Fatal(err)
	}
	s, err := ledger.Decode(o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func totalUsage(s *ledger.Spec) window.Usage {
	out := window.Usage{}
	for _, p := range s.Pages {
		out.Merge(p.Use)
	}
	return out
}

func ExampleLedger() {
	st := fake.NewStore()
	l := ledger.New(st, "host-1", "mid-a")
	r := l.Begin("derby-retail") // Send r.ID() to the backend server as the request id.
	r.Attempt("runner-1", meter.Usage{Requests: 1, PromptTokens: 120, OutputTokens: 48}, true)
	r.End()
	fmt.Println(l.Flush(context.Background()))
	o, _ := st.Get(context.Background(), ledger.Kind, l.Incarnation())
	s, _ := ledger.Decode(o)
	fmt.Println(s.Pages[0].Use["derby-retail"])
	// Output:
	// <nil>
	// {1 120 48}
}

// TestFlushAmongFaults guards against lost or doubled usage when a flush fails, when its response is lost, or when
// another writer changes the ledger.
func TestFlushAmongFaults(t *testing.T) {
	oneRequest := meter.Usage{Requests: 1, OutputTokens: 10}
	for name, fault := range map[string]func(st *fake.Store, l *ledger.Ledger){
		"no fault": func(*fake.Store, *ledger.Ledger) {},
		"the response to a write is lost": func(st *fake.Store, l *ledger.Ledger) {
			st.SetFaults(fake.Faults{LoseAnswers: 1})
			_ = l.Flush(context.Background())
		},
		"the responses to several writes are lost": func(st *fake.Store, l *ledger.Ledger) {
			for range 4 {
				st.SetFaults(fake.Faults{LoseAnswers: 1})
				_ = l.Flush(context.Background())
				l.Count("derby", meter.Usage{OutputTokens: 0})
			}
		},
		"the platform is unavailable": func(st *fake.Store, l *ledger.Ledger) {
			st.SetFaults(fake.Faults{Down: true})
			_ = l.Flush(context.Background())
			st.SetFaults(fake.Faults{})
		},
		"reads are stale": func(st *fake.Store, l *ledger.Ledger) {
			st.SetFaults(fake.Faults{LoseAnswers: 1, StaleReads: 2})
			_ = l.Flush(context.Background())
			_ = l.Flush(context.Background())
			st.SetFaults(fake.Faults{})
		},
		"the reporter seals a page between two flushes": func(st *fake.Store, l *ledger.Ledger) {
			o, _ := st.Get(context.Background(), ledger.Kind, l.Incarnation())
			s, _ := ledger.Decode(o)
			s.Seal(window.IDAt(time.Now(), time.Hour))
			o, _ = s.Encode(o.Version)
			_, _ = st.Update(context.Background(), o)
		},
	} {
		t.Run(name, func(t *testing.T) {
			st := fake.NewStore()
			l := ledger.New(st, "host-1", "mid-a")
			l.Count("derby", oneRequest)
			if err := l.Flush(t.Context()); err != nil {
				t.Fatal(err)
			}
			l.Count("derby", oneRequest)
			fault(st, l)
			l.Count("derby", oneRequest)
			if err := l.Close(t.Context()); err != nil {
				t.Fatal(err)
			}
			s := readSpec(t, st, l.Incarnation())
			if got := totalUsage(s)["derby"]; got != (meter.Usage{Requests: 3, OutputTokens: 30}) || !s.Closed {
				t.Fatalf("the ledger holds %+v, closed %t", got, s.Closed)
			}
		})
	}
}

func TestRaiseBeforeTheHostEnds(t *testing.T) {
	convey.Convey("A request whose usage the reporter recorded for a paused host", t, func() {
		s := &ledger.Spec{Next: 9, Open: []uint64{4}}
		w := window.IDAt(time.Now(), time.Hour)
		partial := meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 30}
		convey.So(s.UpdatePartial(w, 4, "derby", partial), convey.ShouldBeTrue)
		convey.So(s.UpdatePartial(w, 4, "derby", partial), convey.ShouldBeFalse)
		convey.Convey("gets its final usage from the host", func() {
			s.EndRequest(w, 4, "derby", meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 48})
			convey.So(totalUsage(s)["derby"], convey.ShouldResemble, meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 48})
			convey.So(s.Partials, convey.ShouldBeEmpty)
		})
		convey.Convey("is not updated after it has ended", func() {
			convey.So(s.UpdatePartial(w, 3, "derby", partial), convey.ShouldBeFalse)
		})
	})
}

// TestRestartAfterTheLedgerIsGone guards against usage that is recorded twice after the platform object was deleted:
// only usage that is counted after the restart may be in the new ledger.
func TestRestartAfterTheLedgerIsGone(t *testing.T) {
	st := fake.NewStore()
	l := ledger.New(st, "host-1", "mid-a")
	l.Count("derby", meter.Usage{Requests: 1})
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	oldIncarnation := l.Incarnation()
	if err := st.Delete(t.Context(), store.Object{Kind: ledger.Kind, Name: oldIncarnation}); err != nil {
		t.Fatal(err)
	}
	l.Count("derby", meter.Usage{Requests: 1})
	_ = l.Flush(t.Context())
	l.Count("derby", meter.Usage{Requests: 5})
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := totalUsage(readSpec(t, st, l.Incarnation()))["derby"].Requests; l.Incarnation() == oldIncarnation || got != 5 {
		t.Fatalf("incarnation %s after %s holds %d requests", l.Incarnation(), oldIncarnation, got)
	}
}

// writesPerSecond returns the platform's write rate while the hosts together serve rate requests per second. It runs
// for two minutes of virtual time.
func writesPerSecond(t *testing.T, hosts int, rate float64) float64 {
	var writes float64
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, hosts)
		var ledgers []*ledger.Ledger
		for i := range hosts {
			l := ledger.New(st, fmt.Sprintf("host-%d", i), "mid-a", ledger.WithHostCount(func() int { return hosts }))
			ledgers = append(ledgers, l)
			go l.Run(ctx, done)
		}
		const duration = 2 * time.Minute
		for n := range int(rate * duration.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			ledgers[n%hosts].Count(fmt.Sprintf("organisation-%d", n%1400), meter.Usage{Requests: 1, OutputTokens: 220})
		}
		writes = float64(st.Counts().Writes) / duration.Seconds()
		stop()
		for range ledgers {
			<-done
		}
	})
	return writes
}

// maxUsageWritesPerSecond is the limit for usage writes. The platform allows several hundred writes per second in
// total.
const maxUsageWritesPerSecond = 100

func TestWritesPerSecond(t *testing.T) {
	for name, c := range map[string]struct {
		hosts int
		rate  float64
	}{
		"7 hosts, 20 requests a second":    {7, 20},
		"60 hosts, 300 requests a second":  {60, 300},
		"120 hosts, 600 requests a second": {120, 600},
	} {
		t.Run(name, func(t *testing.T) {
			w := writesPerSecond(t, c.hosts, c.rate)
			t.Logf("%d hosts, %.0f requests/s: %.1f writes/s", c.hosts, c.rate, w)
			if w > maxUsageWritesPerSecond {
				t.Fatalf("%.1f writes per second, want at most %d", w, maxUsageWritesPerSecond)
			}
		})
	}
}

// maxControlBytesPerSecond is the limit for all control traffic of a host.
const maxControlBytesPerSecond = 26 << 10

// TestFlushBytes guards against flushes that need too much network bandwidth. It measures a ledger at the end of an
// hour at the size expected in two years: 360 hosts with 5 requests per second each, 600 prompt tokens and 220 output
// tokens per request, and 200 open requests.
func TestFlushBytes(t *testing.T) {
	for _, organisations := range []int{350, 700, 1400} {
		s := &ledger.Spec{Incarnation: "0123456789abcdef", Host: "host-123", Zone: "mid-a", Next: 18000}
		for n := range uint64(200) {
			s.Open = append(s.Open, 18000-n)
		}
		for n := range 18000 {
			s.Add(window.IDAt(time.Now(), time.Hour), fmt.Sprintf("organisation-%04d", n%organisations),
				meter.Usage{Requests: 1, PromptTokens: 600, OutputTokens: 220})
		}
		b, err := json.Marshal(s)
		rate := float64(len(b)) / ledger.FlushInterval(360).Seconds()
		t.Logf("%d organisations: %d bytes, %.0f bytes/s at 360 hosts", organisations, len(b), rate)
		if err != nil || rate > maxControlBytesPerSecond/2 {
			t.Errorf("%.0f bytes per second, error %v", rate, err)
		}
	}
}

func TestLedgerFitsOneObject(t *testing.T) {
	s := &ledger.Spec{Incarnation: "0123456789abcdef", Next: 1 << 40}
	for n := range uint64(1000) {
		s.Open = append(s.Open, 1<<40-n)
	}
	for hour := range 2 {
		for n := range 1400 {
			s.Add(window.IDAt(time.Now().Add(time.Duration(hour)*time.Hour), time.Hour), fmt.Sprintf("organisation-%04d", n),
				meter.Usage{Requests: 1 << 20, PromptTokens: 1 << 40, OutputTokens: 1 << 40})
		}
	}
	b, err := json.Marshal(s)
	t.Logf("two windows of 1,400 organisations and 1,000 open requests: %d bytes", len(b))
	if err != nil || len(b) > store.MaxValueBytes {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
}
