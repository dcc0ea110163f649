package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/record"
)

// TestAccountsOfBrokenAndCancelledWork compares the ledger with the engines' own counts when
// streams break, are resumed, and when callers hang up.
func TestAccountsOfBrokenAndCancelledWork(t *testing.T) {
	var b *bench
	records := record.NewReader(func(server string) (netip.AddrPort, bool) {
		s, ok := b.set.BackendServers[server]
		if !ok {
			return netip.AddrPort{}, false
		}
		return s.Address, true
	}, http.DefaultTransport)
	st := fake.NewStore()
	book := ledger.New(st, "host-1", "z", ledger.WithRecords(records))
	b = newBench(t, gateway.WithUsageRecorders(func(o string) gateway.UsageRecorder { return book.Begin(o) }))
	b.engines[0].SetFaults(enginefake.Faults{BreakAfter: 5})
	for i := range 12 {
		b.post("/v1/chat/completions", secretA, chat(fmt.Sprintf("n%d tokens=20", i), i%2 == 0))
	}
	hangUp(t, b)
	waitFor(t, func() bool { return b.gateway.OpenRequests() == 0 })
	b.post("/book/x", secretA, "{}", "Idempotency-Key", "k1")
	if err := book.Close(t.Context()); err != nil {
		t.Fatal(err)
	}

	// The booking is one request more than the engines know.
	want := meter.Use{Requests: 1}
	ids := map[string]bool{}
	for _, e := range b.engines {
		for id, n := range e.Counts() {
			ids[id] = true
			want.PromptTokens += int64(n.Prompt)
			want.OutputTokens += int64(n.Output)
		}
	}
	want.Requests += int64(len(ids))
	o, err := st.Get(t.Context(), ledger.Kind, book.Incarnation())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ledger.Decode(o)
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Pages[0].Use["a"]; got != want || len(s.Open) > 0 || s.Estimated > 0 {
		t.Errorf("the ledger holds %+v, %d open, %d estimated; the engines counted %+v", got, len(s.Open), s.Estimated, want)
	}
}

// hangUp starts a long stream and leaves it after its first bytes.
func hangUp(t *testing.T, b *bench) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/chat/completions", strings.NewReader(chat("x tokens=100000", true)))
	req.Header.Set("Authorization", "Bearer "+secretA)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = res.Body.Close()
}
