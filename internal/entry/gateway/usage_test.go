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
	"shallotramp/internal/usage/servercounts"
)

// TestAccountsOfBrokenAndCancelledWork guards against wrong usage records when streams break and are resumed and when
// callers disconnect. It compares the usage ledger with the token counts of the engines.
func TestAccountsOfBrokenAndCancelledWork(t *testing.T) {
	var g *testGateway
	records := servercounts.NewReader(func(server string) (netip.AddrPort, bool) {
		s, ok := g.set.BackendServers[server]
		if !ok {
			return netip.AddrPort{}, false
		}
		return s.Address, true
	}, http.DefaultTransport)
	store := fake.NewStore()
	usageLedger := ledger.New(store, "host-1", "z", ledger.WithCountReader(records))
	g = newTestGateway(t, gateway.WithUsageRecorders(func(o string) gateway.UsageRecorder { return usageLedger.Begin(o) }))
	g.engines[0].SetFaults(enginefake.Faults{BreakAfter: 5})
	for i := range 12 {
		g.post("/v1/chat/completions", secretA, chat(fmt.Sprintf("n%d tokens=20", i), i%2 == 0))
	}
	disconnectMidStream(t, g)
	waitFor(t, func() bool { return g.gateway.OpenRequests() == 0 })
	g.post("/book/x", secretA, "{}", "Idempotency-Key", "k1")
	if err := usageLedger.Close(t.Context()); err != nil {
		t.Fatal(err)
	}

	// The booking request went to the service, so the engines have not counted it.
	want := meter.Usage{Requests: 1}
	ids := map[string]bool{}
	for _, e := range g.engines {
		for id, n := range e.TokenCounts() {
			ids[id] = true
			want.PromptTokens += int64(n.Prompt)
			want.OutputTokens += int64(n.Output)
		}
	}
	want.Requests += int64(len(ids))
	o, err := store.Get(t.Context(), ledger.Kind, usageLedger.Incarnation())
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

// disconnectMidStream starts a long stream and disconnects after the first line.
func disconnectMidStream(t *testing.T, g *testGateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/v1/chat/completions", strings.NewReader(chat("x tokens=100000", true)))
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
