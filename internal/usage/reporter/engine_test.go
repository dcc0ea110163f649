package reporter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	engine "shallotramp/internal/engine/fake"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/record"
	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/window"
)

// pipes is a listener whose connections stay in memory, so that the test's clock covers them.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// stream sends one request to the engine and reads tokens until the context ends or the stream does.
func stream(ctx context.Context, rt http.RoundTripper, id string) {
	body := `{"model":"briefing","stream":true,"prompt":"wardrobe in Leicester tokens=200"}`
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1/v1/completions", strings.NewReader(body))
	req.Header.Set("X-Request-Id", id)
	res, err := rt.RoundTrip(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
}

func TestHostKilledInMidStream(t *testing.T) {
	for name, flushed := range map[string]bool{
		"before its first flush":                   false,
		"after a flush that lists the open stream": true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { killInMidStream(t, flushed) })
		})
	}
}

func killInMidStream(t *testing.T, flushed bool) {
	e := engine.NewEngine(engine.Config{Name: "runner-1", Models: []string{"briefing"}, Slots: 4, TokenInterval: 50 * time.Millisecond})
	p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	srv := &http.Server{Handler: e}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(p) }()
	rt := &http.Transport{DialContext: p.dial}
	records := record.NewReader(func(string) (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:80"), true }, rt)

	st, sink := fake.NewStore(), fake.NewReports()
	book := ledger.New(st, "host-0", "mid-a", ledger.WithRecords(records), ledger.WithWindow(windowLength))
	life, kill := context.WithCancel(t.Context())
	r := book.Begin("derby-retail")
	ended := make(chan struct{})
	go func() { stream(life, rt, r.ID()); close(ended) }()
	time.Sleep(2 * time.Second)
	if flushed {
		if err := book.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	kill()
	<-ended

	lease := &term{}
	lease.take("reporter-1")
	rep := reporter.New("reporter-1", st, &seat{t: lease, name: "reporter-1"}, sink, reporter.WithWindow(windowLength, windowGrace),
		reporter.WithRecords(records, func() []string { return []string{"runner-1"} }, func() []string { return organisations }))
	rep.Vanished(time.Now(), book.Incarnation())
	for range 100 {
		if err := rep.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
	}

	truth := window.Use{}
	for _, c := range e.TokenCounts() {
		truth.Add("derby-retail", meter.Use{Requests: 1, PromptTokens: int64(c.Prompt), OutputTokens: int64(c.Output)})
	}
	sum := window.Use{}
	for _, got := range sink.All() {
		sum.Merge(got.Report.Figures)
	}
	convey.Convey("the windows hold what the engine counted", t, func() {
		convey.So(truth["derby-retail"].OutputTokens, convey.ShouldBeBetween, 50, 200)
		convey.So(window.Difference(truth, sum), convey.ShouldBeEmpty)
	})
	rt.CloseIdleConnections()
	_ = srv.Close()
	<-served
}

func TestPageSealedAfterTheFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, sink, lease := fake.NewStore(), fake.NewReports(), &term{}
		first := window.Of(time.Now(), windowLength)
		lease.take("reporter-1")
		rep := reporter.New("reporter-1", st, &seat{t: lease, name: "reporter-1"}, sink, reporter.WithWindow(windowLength, windowGrace))
		until := func(end time.Time) {
			for time.Now().Before(end) {
				if err := rep.Step(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
			}
		}
		until(first.Start().Add(windowLength + 2*windowGrace))

		// A host whose clock is behind counts in the frozen window, and a reporter that was paused seals that.
		s := &ledger.Spec{Incarnation: "0f3a", Next: 1, Flushed: time.Now()}
		s.Add(first, "derby-retail", meter.Use{Requests: 1})
		s.Seal(first)
		o, err := s.Encode("")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Create(t.Context(), o); err != nil {
			t.Fatal(err)
		}
		until(first.Start().Add(3*windowLength + 2*windowGrace))

		convey.Convey("the next window reports it as late, once, and names its origin", t, func() {
			all := sink.All()
			convey.So(all, convey.ShouldHaveLength, 3)
			convey.So(all[0].Report.Figures, convey.ShouldBeEmpty)
			convey.So(all[1].Report.Late, convey.ShouldResemble, []window.Late{{Origin: first, Use: window.Use{"derby-retail": {Requests: 1}}}})
			convey.So(all[1].Report.Figures, convey.ShouldResemble, map[string]meter.Use{"derby-retail": {Requests: 1}})
			convey.So(all[2].Report.Figures, convey.ShouldBeEmpty)
		})
	})
}
