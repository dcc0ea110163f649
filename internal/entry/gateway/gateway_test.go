package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	c "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/gjson"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	enginefake "shallotramp/internal/engine/fake"
	"shallotramp/internal/entry/gateway"
	"shallotramp/internal/ops/decisionlog"
	"shallotramp/internal/ops/trace"
	"shallotramp/internal/traffic/baseline"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
	"shallotramp/internal/usage/meter"
)

const (
	secretA = "sk-a-very-secret-key-of-a"
	secretB = "sk-a-very-secret-key-of-b"
)

// testGateway is a gateway in front of fake engines and a fake service.
type testGateway struct {
	t         testing.TB
	holder    *release.Holder
	gateway   *gateway.Gateway
	loop      *dispatch.Loop
	usage     *meter.Meter
	engines   []*enginefake.Engine
	service   *enginefake.Service
	set       *object.Set
	url       string
	engineURL string
}

func addr(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func newTestGateway(t testing.TB, opts ...gateway.Option) *testGateway {
	t.Helper()
	return newTestGatewayWithPolicy(t, baseline.New(), opts...)
}

// newTestGatewayWithPolicy starts a gateway with the dispatch policy p in front of two fake engines and a fake service.
func newTestGatewayWithPolicy(t testing.TB, p dispatch.Policy, opts ...gateway.Option) *testGateway {
	t.Helper()
	b := &testGateway{t: t, holder: &release.Holder{}, usage: meter.New(), set: object.NewSet()}
	s := b.set
	s.Organisations["a"] = &object.OrganisationSpec{Name: "a"}
	s.Organisations["b"] = &object.OrganisationSpec{Name: "b"}
	s.Keys["a"] = &object.KeySpec{Name: "a", Organisation: "a", Digest: object.DigestOf(secretA)}
	s.Keys["b"] = &object.KeySpec{Name: "b", Organisation: "b", Digest: object.DigestOf(secretB), Classes: []string{"low"}}
	s.Classes["high"] = &object.ClassSpec{Name: "high", Tier: 1}
	s.Classes["low"] = &object.ClassSpec{Name: "low", Tier: 2}
	s.Pools["engines"] = &object.PoolSpec{Name: "engines", Protocol: object.Engine, Models: []string{"m"}, Concurrency: 4096}
	s.Pools["services"] = &object.PoolSpec{Name: "services", Protocol: object.Service, Concurrency: 64}
	s.Routes["m"] = &object.RouteSpec{Name: "m", Model: "m", Pool: "engines", Classes: []string{"high", "low"}, Idempotent: true}
	s.Routes["only-a"] = &object.RouteSpec{Name: "only-a", Path: "/only-a/", Pool: "services", Organisations: []string{"a"}, Classes: []string{"high"}, Idempotent: true}
	s.Routes["book"] = &object.RouteSpec{Name: "book", Path: "/book/", Pool: "services", Classes: []string{"high"}}
	s.Routes["open"] = &object.RouteSpec{Name: "open", Path: "/open/", Pool: "services", Open: true, Classes: []string{"high"}, Idempotent: true}
	for i := range 2 {
		e := enginefake.NewEngine(enginefake.Config{Name: fmt.Sprintf("e%d", i), Models: []string{"m"}, Slots: 4096, TokenInterval: time.Millisecond})
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		b.engines = append(b.engines, e)
		b.engineURL = srv.URL
		s.BackendServers[fmt.Sprintf("e%d", i)] = &object.BackendServerSpec{Name: fmt.Sprintf("e%d", i), Pool: "engines", Zone: "z", Address: addr(srv)}
	}
	b.service = enginefake.NewService()
	srv := httptest.NewServer(b.service)
	t.Cleanup(srv.Close)
	s.BackendServers["s"] = &object.BackendServerSpec{Name: "s", Pool: "services", Zone: "z", Address: addr(srv)}
	if fs := s.Check(); object.Refused(fs) {
		t.Fatal(fs)
	}
	b.loop = dispatch.NewLoop(p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go b.loop.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	b.gateway = gateway.New("z", b.holder, b.loop, append([]gateway.Option{gateway.WithUsageCounter(b.usage)}, opts...)...)
	b.publish(1)
	srv = httptest.NewUnstartedServer(nil)
	srv.Config = b.gateway.Server()
	srv.Start()
	t.Cleanup(srv.Close)
	b.url = srv.URL
	return b
}

// publish makes the set the current configuration, as release n.
func (g *testGateway) publish(n uint64) {
	sn := release.NewSnapshot(n, "", g.set)
	g.holder.Adopt(sn)
	g.holder.Confirm(n, time.Now())
	g.loop.Configure(sn)
	g.gateway.Enforce(time.Now())
}

// post sends a request and returns the status, headers and body.
func (g *testGateway) post(path, key, body string, header ...string) (*http.Response, string) {
	g.t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.url+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		g.t.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res, string(text)
}

func chat(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}

// wantText returns the complete response of the fake engine to a prompt, of n tokens.
func wantText(prompt string, n int) string {
	var s strings.Builder
	for i := range n {
		s.WriteString(enginefake.Token("user "+prompt+"\n", i))
	}
	return s.String()
}

func TestPublishedClientLibrary(t *testing.T) {
	c.Convey("The published OpenAI client library gets complete responses", t, func() {
		g := newTestGateway(t)
		client := openai.NewClient(option.WithBaseURL(g.url+"/v1/"), option.WithAPIKey(secretA))
		params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello tokens=20")}}

		c.Convey("not streamed", func() {
			r, err := client.Chat.Completions.New(context.Background(), params)
			c.So(err, c.ShouldBeNil)
			c.So(r.Choices[0].Message.Content, c.ShouldEqual, wantText("hello tokens=20", 20))
			c.So(r.Usage.CompletionTokens, c.ShouldEqual, 20)
		})
		c.Convey("streamed, with usage when asked for", func() {
			params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
			s := client.Chat.Completions.NewStreaming(context.Background(), params)
			acc := openai.ChatCompletionAccumulator{}
			for s.Next() {
				acc.AddChunk(s.Current())
			}
			c.So(s.Err(), c.ShouldBeNil)
			c.So(acc.Choices[0].Message.Content, c.ShouldEqual, wantText("hello tokens=20", 20))
			c.So(acc.Usage.CompletionTokens, c.ShouldEqual, 20)
		})
		c.Convey("embeddings and the models that the key may use", func() {
			e, err := client.Embeddings.New(context.Background(), openai.EmbeddingNewParams{Model: "m", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("a b")}})
			c.So(err, c.ShouldBeNil)
			c.So(len(e.Data[0].Embedding), c.ShouldEqual, 3)
			page, err := client.Models.List(context.Background())
			c.So(err, c.ShouldBeNil)
			c.So(page.Data[0].ID, c.ShouldEqual, "m")
		})
		c.Convey("errors in the format of the OpenAI API", func() {
			params.Model = "none"
			_, err := client.Chat.Completions.New(context.Background(), params)
			var api *openai.Error
			c.So(err, c.ShouldHaveSameTypeAs, api)
			c.So(err.(*openai.Error).StatusCode, c.ShouldEqual, http.StatusNotFound)
			c.So(err.(*openai.Error).Code, c.ShouldEqual, "unknown_model")
		})
	})
}

func TestBadInput(t *testing.T) {
	g := newTestGateway(t, gateway.WithLimits(gateway.Limits{MaxBodyBytes: 1000}))
	for name, tc := range map[string]struct {
		path, key, body string
		header          []string
		status          int
		code            string
	}{
		"malformed JSON":                          {"/v1/chat/completions", secretA, `{"model":`, nil, 400, "bad_json"},
		"an array instead of an object":           {"/v1/chat/completions", secretA, `[]`, nil, 400, "missing_model"},
		"no model":                                {"/v1/chat/completions", secretA, `{}`, nil, 400, "missing_model"},
		"an unknown model":                        {"/v1/chat/completions", secretA, `{"model":"x"}`, nil, 404, "unknown_model"},
		"no key":                                  {"/v1/chat/completions", "", chat("x", false), nil, 401, "missing_key"},
		"a wrong key":                             {"/v1/chat/completions", "sk-wrong", chat("x", false), nil, 401, "unknown_key"},
		"an oversize body":                        {"/v1/chat/completions", secretA, chat(strings.Repeat("x", 2000), false), nil, 413, "body_too_large"},
		"two keys":                                {"/v1/chat/completions", secretA, chat("x", false), []string{"Authorization", "Bearer " + secretB}, 400, "duplicate_header"},
		"a class that the key may not use":        {"/v1/chat/completions", secretB, chat("x", false), []string{"X-Request-Class", "high"}, 403, "class_not_allowed"},
		"a timeout that is not a duration":        {"/v1/chat/completions", secretA, chat("x", false), []string{"X-Request-Timeout", "soon"}, 400, "bad_timeout"},
		"a route of another organisation":         {"/only-a/x", secretB, "", nil, 403, "route_not_allowed"},
		"an unknown path":                         {"/nowhere", secretA, "", nil, 404, "unknown_path"},
		"a booking without an idempotency key":    {"/book/x", secretA, "{}", nil, 400, "missing_idempotency_key"},
		"a booking with two idempotency keys":     {"/book/x", secretA, "{}", []string{"Idempotency-Key", "1", "Idempotency-Key", "2"}, 400, "bad_idempotency_key"},
		"a key in the body":                       {"/v1/chat/completions", secretA, chat(secretA, false), nil, 400, "key_in_request"},
		"a key in the query":                      {"/only-a/x?k=" + secretA, secretA, "", nil, 400, "key_in_request"},
		"a key in the query, percent-encoded":     {"/only-a/x?k=%73" + secretA[1:], secretA, "", nil, 400, "key_in_request"},
		"a key in the path":                       {"/only-a/" + secretA, secretA, "", nil, 400, "key_in_request"},
		"a deadline that has passed while it ran": {"/v1/chat/completions", secretA, chat("tokens=3000", false), []string{"X-Request-Timeout", "50ms"}, 504, "deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			res, body := g.post(tc.path, tc.key, tc.body, tc.header...)
			if res.StatusCode != tc.status || gjson.Get(body, "error.code").String() != tc.code {
				t.Fatalf("got %d %s, want %d %s", res.StatusCode, body, tc.status, tc.code)
			}
			if gjson.Get(body, "error.remedy").String() == "" || gjson.Get(body, "error.request_id").String() == "" {
				t.Errorf("no remedy or request id: %s", body)
			}
			want := "not run"
			if tc.code == "deadline" {
				want = "may have run"
			}
			if got := gjson.Get(body, "error.ran").String(); got != want {
				t.Errorf("ran is %q, want %q", got, want)
			}
		})
	}
	t.Run("a valid request still succeeds", func(t *testing.T) {
		res, body := g.post("/v1/chat/completions", secretA, chat("x tokens=2", false))
		if res.StatusCode != http.StatusOK {
			t.Fatal(res.StatusCode, body)
		}
	})
}

func TestMalformedChunkedBody(t *testing.T) {
	g := newTestGateway(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nnonsense\r\n", secretA)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusBadRequest || gjson.GetBytes(body, "error.code").String() != "bad_body" {
		t.Fatalf("got %d %s", res.StatusCode, body)
	}
}

func TestKeysReachNoBackendServer(t *testing.T) {
	var output bytes.Buffer
	stop, err := trace.Start(t.Context(), trace.Config{SampleRatio: 1, Writer: &output})
	if err != nil {
		t.Fatal(err)
	}
	metricSet, decisionLog := metrics.NewSet(), decisionlog.NewDecisionLog()
	g := newTestGateway(t, gateway.WithMetrics(metricSet), gateway.WithDecisionLog(decisionLog), gateway.WithLog(zerolog.New(&output)))
	res, _ := g.post("/v1/chat/completions", secretA, chat("x tokens=2", false), "X-Copy", secretA, "Cookie", "k="+secretA, "Api-Key", secretA, "Connection", "X-Hop", "X-Hop", "1")
	g.post("/book/x", secretA, `{}`, "Idempotency-Key", "k1", "X-Kept", "yes")
	explanation, ok := decisionLog.Find(request.ID(res.Header.Get("X-Request-Id")))
	metricSet.WritePrometheus(&output)
	fmt.Fprint(&output, explanation)
	if err := stop(t.Context()); err != nil || !ok || !strings.Contains(output.String(), `"Name":"relay"`) && !strings.Contains(output.String(), "backend call") {
		t.Errorf("traces or decision log of the request are missing: %v, %t", err, ok)
	}
	if strings.Contains(output.String(), secretA) || strings.Contains(output.String(), "tokens=2") {
		t.Error("logs, traces, metrics or the decision log contain an API key or a prompt")
	}
	seen := append(g.engines[0].Requests(), g.engines[1].Requests()...)
	seen = append(seen, g.service.Requests()...)
	if len(seen) != 2 {
		t.Fatalf("%d requests reached backend servers, want 2", len(seen))
	}
	for _, s := range seen {
		if strings.Contains(fmt.Sprint(s), secretA) || s.Header.Get("Authorization") != "" || s.Header.Get("X-Hop") != "" {
			t.Errorf("a backend server got a credential or hop-by-hop header: %v", s)
		}
		if s.Header.Get("X-Request-Id") == "" {
			t.Error("a backend server got no request id")
		}
	}
	if got := seen[1].Header; got.Get("X-Kept") != "yes" || got.Get("Idempotency-Key") != "k1" {
		t.Errorf("headers of a request to a plain HTTP service were not forwarded: %v", got)
	}
}

func TestWithdrawnKeyEndsWork(t *testing.T) {
	for name, tc := range map[string]struct {
		stream bool
		limit  int
	}{
		"an open stream ends with an explicit error": {stream: true, limit: 4096},
		"a queued request is rejected":               {stream: false, limit: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.set.Pools["engines"].Concurrency = tc.limit
			g.publish(2)
			if tc.limit == 1 {
				for range 2 { // requests of organisation b occupy both engines
					go g.post("/v1/chat/completions", secretB, chat("tokens=4000", false))
				}
				waitFor(t, func() bool { return g.gateway.OpenRequests() == 2 })
			}
			responseBody := make(chan string, 1)
			go func() {
				_, body := g.post("/v1/chat/completions", secretA, chat("tokens=5000", tc.stream))
				responseBody <- body
			}()
			waitFor(t, func() bool { return g.gateway.OpenRequests() == 1+2*(2-min(2, tc.limit)) })
			if tc.stream {
				waitFor(t, func() bool { return len(g.engines[0].Requests())+len(g.engines[1].Requests()) > 0 })
			}
			next := *g.set
			next.Keys = map[string]*object.KeySpec{"b": g.set.Keys["b"]}
			g.set = &next
			g.publish(3)
			body := <-responseBody
			if !strings.Contains(body, `"code":"key_withdrawn"`) || strings.Contains(body, "[DONE]") {
				t.Fatalf("got %.300s", body)
			}
			want := "may have run"
			if !tc.stream {
				want = "not run"
			}
			if !strings.Contains(body, `"ran":"`+want+`"`) {
				t.Errorf("want %q in %.300s", want, body)
			}
			if res, _ := g.post("/v1/chat/completions", secretA, chat("x", false)); res.StatusCode != http.StatusUnauthorized {
				t.Errorf("a new request got %d", res.StatusCode)
			}
		})
	}
}

// waitFor polls until ok returns true, and fails the test after about 10 seconds.
func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timeout while waiting for a condition")
}

func TestBrokenStreamNeverEndsClean(t *testing.T) {
	g := newTestGateway(t)
	for _, e := range g.engines {
		e.SetFaults(enginefake.Faults{BreakAfter: 5})
	}
	g.set.Routes["m"].Retry.Attempts = 1
	g.publish(2)
	req, _ := http.NewRequest(http.MethodPost, g.url+"/v1/chat/completions", strings.NewReader(chat("x tokens=50", true)))
	req.Header.Set("Authorization", "Bearer "+secretA)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil {
		t.Error("the response ended without an error, like a complete one")
	}
	if !bytes.Contains(body, []byte(`"error"`)) || bytes.Contains(body, []byte("[DONE]")) {
		t.Errorf("got %s", body)
	}
}

func TestCallerDisconnectCancelsWork(t *testing.T) {
	g := newTestGateway(t)
	disconnectMidStream(t, g)
	waitFor(t, func() bool { return g.gateway.OpenRequests() == 0 })
	output := func() int {
		n := 0
		for _, e := range g.engines {
			for _, k := range e.TokenCounts() {
				n += k.Output
			}
		}
		return n
	}
	waitFor(t, func() bool {
		before := output()
		time.Sleep(30 * time.Millisecond)
		return output() == before
	})
}

// TestSlowReaderCancelsWork does not read the response of a stream. The writes of the host block and reach the
// write timeout, which must end the request.
func TestSlowReaderCancelsWork(t *testing.T) {
	g := newTestGateway(t, gateway.WithLimits(gateway.Limits{WriteTimeout: 100 * time.Millisecond}))
	for _, e := range g.engines {
		e.SetFaults(enginefake.Faults{SlowFactor: 1e-9})
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := chat("x tokens=100000000", true)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", secretA, len(body), body)
	waitFor(t, func() bool { return g.gateway.OpenRequests() == 1 })
	waitFor(t, func() bool { return g.gateway.OpenRequests() == 0 })
}

func TestCutOffHostRefusesKeyedWorkAfterGrace(t *testing.T) {
	g := newTestGateway(t)
	g.set.Organisations["a"].CutOffGrace = object.Duration(time.Nanosecond)
	g.publish(2)
	time.Sleep(time.Millisecond)
	if _, body := g.post("/v1/chat/completions", secretA, chat("x", false)); gjson.Get(body, "error.code").String() != "cut_off" {
		t.Errorf("organisation a got %s", body)
	}
	if res, body := g.post("/v1/chat/completions", secretB, chat("x", false)); res.StatusCode != http.StatusOK {
		t.Errorf("organisation b has a longer grace and got %s", body)
	}
	if res, body := g.post("/open/x", "", "{}"); res.StatusCode != http.StatusCreated {
		t.Errorf("an open route got %s", body)
	}
}

func TestUsageIsThatOfTheEngines(t *testing.T) {
	g := newTestGateway(t)
	for i := range 20 {
		g.post("/v1/chat/completions", secretA, chat(fmt.Sprintf("n%d tokens=%d", i, i+1), i%2 == 0))
	}
	want := meter.Usage{Requests: 20}
	for _, e := range g.engines {
		for _, n := range e.TokenCounts() {
			want.PromptTokens += int64(n.Prompt)
			want.OutputTokens += int64(n.Output)
		}
	}
	if got := g.usage.Sums()["a"]; got != want || want.OutputTokens != 210 {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
