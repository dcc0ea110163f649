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

func read(t testing.TB, st store.Store, incarnation string) *ledger.Spec {
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

func total(s *ledger.Spec) window.Usage {
	out := window.Usage{}
	for _, p := range s.Pages {
		out.Merge(p.Use)
	}
	return out
}

func ExampleLedger() {
	st := fake.NewStore()
	l := ledger.New(st, "host-1", "mid-a")
	r := l.Begin("derby-retail") // r.ID() is the request id for the backend server
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

func TestFlushAmongFaults(t *testing.T) {
	one := meter.Usage{Requests: 1, OutputTokens: 10}
	for name, between := range map[string]func(st *fake.Store, l *ledger.Ledger){
		"no fault": func(*fake.Store, *ledger.Ledger) {},
		"an answer is lost after the write": func(st *fake.Store, l *ledger.Ledger) {
			st.SetFaults(fake.Faults{LoseAnswers: 1})
			_ = l.Flush(context.Background())
		},
		"answers are lost again and again": func(st *fake.Store, l *ledger.Ledger) {
			for range 4 {
				st.SetFaults(fake.Faults{LoseAnswers: 1})
				_ = l.Flush(context.Background())
				l.Count("derby", meter.Usage{OutputTokens: 0})
			}
		},
		"the platform is down": func(st *fake.Store, l *ledger.Ledger) {
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
		"the reporter seals the page": func(st *fake.Store, l *ledger.Ledger) {
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
			l.Count("derby", one)
			if err := l.Flush(t.Context()); err != nil {
				t.Fatal(err)
			}
			l.Count("derby", one)
			between(st, l)
			l.Count("derby", one)
			if err := l.Close(t.Context()); err != nil {
				t.Fatal(err)
			}
			s := read(t, st, l.Incarnation())
			if got := total(s)["derby"]; got != (meter.Usage{Requests: 3, OutputTokens: 30}) || !s.Closed {
				t.Fatalf("the ledger holds %+v, closed %t", got, s.Closed)
			}
		})
	}
}

func TestRaiseBeforeTheHostEnds(t *testing.T) {
	convey.Convey("A request that the reporter booked for a paused host", t, func() {
		s := &ledger.Spec{Next: 9, Open: []uint64{4}}
		w := window.IDAt(time.Now(), time.Hour)
		raised := meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 30}
		convey.So(s.UpdatePartial(w, 4, "derby", raised), convey.ShouldBeTrue)
		convey.So(s.UpdatePartial(w, 4, "derby", raised), convey.ShouldBeFalse)
		convey.Convey("is completed by the host to its whole use", func() {
			s.EndRequest(w, 4, "derby", meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 48})
			convey.So(total(s)["derby"], convey.ShouldResemble, meter.Usage{Requests: 1, PromptTokens: 5, OutputTokens: 48})
			convey.So(s.Partials, convey.ShouldBeEmpty)
		})
		convey.Convey("and one that has ended is never raised", func() {
			convey.So(s.UpdatePartial(w, 3, "derby", raised), convey.ShouldBeFalse)
		})
	})
}

func TestRestartAfterTheLedgerIsGone(t *testing.T) {
	st := fake.NewStore()
	l := ledger.New(st, "host-1", "mid-a")
	l.Count("derby", meter.Usage{Requests: 1})
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	old := l.Incarnation()
	if err := st.Delete(t.Context(), store.Object{Kind: ledger.Kind, Name: old}); err != nil {
		t.Fatal(err)
	}
	l.Count("derby", meter.Usage{Requests: 1})
	_ = l.Flush(t.Context())
	l.Count("derby", meter.Usage{Requests: 5})
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := total(read(t, st, l.Incarnation()))["derby"].Requests; l.Incarnation() == old || got != 5 {
		t.Fatalf("incarnation %s after %s holds %d requests", l.Incarnation(), old, got)
	}
}

// writesPerSecond runs hosts that together serve rate requests a second for five minutes of virtual time.
func writesPerSecond(t *testing.T, hosts int, rate float64) float64 {
	var writes float64
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, hosts)
		var books []*ledger.Ledger
		for i := range hosts {
			l := ledger.New(st, fmt.Sprintf("host-%d", i), "mid-a", ledger.WithHostCount(func() int { return hosts }))
			books = append(books, l)
			go l.Run(ctx, done)
		}
		const span = 2 * time.Minute
		for n := range int(rate * span.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			books[n%hosts].Count(fmt.Sprintf("organisation-%d", n%1400), meter.Usage{Requests: 1, OutputTokens: 220})
		}
		writes = float64(st.Counts().Writes) / span.Seconds()
		stop()
		for range books {
			<-done
		}
	})
	return writes
}

// platformShare is what usage may take of the platform's several hundred writes a second.
const platformShare = 100

func TestWritesPerSecond(t *testing.T) {
	for name, c := range map[string]struct {
		hosts int
		rate  float64
	}{
		"Threadwell today":                 {7, 20},
		"60 hosts, 300 requests a second":  {60, 300},
		"120 hosts, 600 requests a second": {120, 600},
	} {
		t.Run(name, func(t *testing.T) {
			w := writesPerSecond(t, c.hosts, c.rate)
			t.Logf("%d hosts, %.0f requests/s: %.1f writes/s", c.hosts, c.rate, w)
			if w > platformShare {
				t.Fatalf("%.1f writes a second, more than %d", w, platformShare)
			}
		})
	}
}

// controlBudget is what a node may spend on control in all, in bytes a second.
const controlBudget = 26 << 10

// TestFlushBytes measures a ledger at the end of an hour at the two-year size: 5 requests a second on each of
// 360 hosts, 220 output tokens and 600 prompt tokens each, and 200 open requests.
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
		if err != nil || rate > controlBudget/2 {
			t.Errorf("%.0f bytes a second, %v", rate, err)
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
