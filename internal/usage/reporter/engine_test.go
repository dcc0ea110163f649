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
	"shallotramp/internal/usage/reporter"
	"shallotramp/internal/usage/servercounts"
	"shallotramp/internal/usage/window"
)

// pipeListener is a listener with connections in memory, because a wait on a network connection stops the virtual clock
// of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

// stream sends one streaming request to the engine and reads the response until ctx or the stream ends.
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

// TestHostKilledInMidStream guards against lost or doubled usage when a host is killed while it forwards a stream: the
// usage must then be recovered from the engine's counts.
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
	p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	srv := &http.Server{Handler: e}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(p) }()
	rt := &http.Transport{DialContext: p.dial}
	records := servercounts.NewReader(func(string) (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:80"), true }, rt)

	st, sink := fake.NewStore(), fake.NewReportReceiver()
	usageLedger := ledger.New(st, "host-0", "mid-a", ledger.WithCountReader(records), ledger.WithWindowLength(windowLength))
	hostCtx, kill := context.WithCancel(t.Context())
	r := usageLedger.Begin("derby-retail")
	ended := make(chan struct{})
	go func() { stream(hostCtx, rt, r.ID()); close(ended) }()
	time.Sleep(2 * time.Second)
	if flushed {
		if err := usageLedger.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	kill()
	<-ended

	lease := &fakeLease{}
	lease.acquire("reporter-1")
	rep := reporter.New("reporter-1", st, &leaseView{lease: lease, name: "reporter-1"}, sink, reporter.WithWindow(windowLength, windowGrace),
		reporter.WithCountReader(records, func() []string { return []string{"runner-1"} }, func() []string { return organisations }))
	rep.HostFailed(time.Now(), usageLedger.Incarnation())
	for range 100 {
		if err := rep.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
	}

	expected := window.Usage{}
	for _, c := range e.TokenCounts() {
		expected.Add("derby-retail", meter.Usage{Requests: 1, PromptTokens: int64(c.Prompt), OutputTokens: int64(c.Output)})
	}
	reported := window.Usage{}
	for _, got := range sink.All() {
		reported.Merge(got.Report.Figures)
	}
	convey.Convey("the reported usage equals the engine's counts", t, func() {
		convey.So(expected["derby-retail"].OutputTokens, convey.ShouldBeBetween, 50, 200)
		convey.So(window.Difference(expected, reported), convey.ShouldBeEmpty)
	})
	rt.CloseIdleConnections()
	_ = srv.Close()
	<-served
}

// TestPageSealedAfterTheFreeze guards against lost or doubled usage when a reporter that was paused seals a page in a
// window that is already frozen: the next window must report it.
func TestPageSealedAfterTheFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, sink, lease := fake.NewStore(), fake.NewReportReceiver(), &fakeLease{}
		first := window.IDAt(time.Now(), windowLength)
		lease.acquire("reporter-1")
		rep := reporter.New("reporter-1", st, &leaseView{lease: lease, name: "reporter-1"}, sink, reporter.WithWindow(windowLength, windowGrace))
		until := func(end time.Time) {
			for time.Now().Before(end) {
				if err := rep.Step(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
			}
		}
		until(first.Start().Add(windowLength + 2*windowGrace))

		// A host whose clock is behind counts usage in the frozen window, and a reporter that was paused seals the
		// page.
		s := &ledger.Spec{Incarnation: "0f3a", Next: 1, Flushed: time.Now()}
		s.Add(first, "derby-retail", meter.Usage{Requests: 1})
		s.Seal(first)
		o, err := s.Encode("")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Create(t.Context(), o); err != nil {
			t.Fatal(err)
		}
		until(first.Start().Add(3*windowLength + 2*windowGrace))

		convey.Convey("the next window reports it once as late usage, with its original window", t, func() {
			all := sink.All()
			convey.So(all, convey.ShouldHaveLength, 3)
			convey.So(all[0].Report.Figures, convey.ShouldBeEmpty)
			convey.So(all[1].Report.Late, convey.ShouldResemble, []window.LateUsage{{Origin: first, Use: window.Usage{"derby-retail": {Requests: 1}}}})
			convey.So(all[1].Report.Figures, convey.ShouldResemble, map[string]meter.Usage{"derby-retail": {Requests: 1}})
			convey.So(all[2].Report.Figures, convey.ShouldBeEmpty)
		})
	})
}
