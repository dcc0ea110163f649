package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"shallotramp/internal/engine/fake"
	providerfake "shallotramp/internal/provider/fake"
)

// startRawServer starts a server and makes it the only one of both pools.
func (g *testGateway) startRawServer(t *testing.T, respond func(c *net.TCPConn)) *fake.RawServer {
	t.Helper()
	s, err := fake.StartRawServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, b := range g.set.BackendServers {
		b.Address = s.Addr()
	}
	g.publish(2)
	return s
}

// rawRequest is a request that takes one of the paths of the gateway.
type rawRequest struct{ path, body, idempotencyKey string }

const modelStream = "model stream"

// rawRequests returns requests that take all paths for responses that are not streamed, and one for a stream. Their bodies
// hold text.
func rawRequests(text string) map[string]rawRequest {
	return map[string]rawRequest{
		"service that may be repeated": {"/open/x", text, ""},
		"call that runs at most once":  {"/book/x", text, "k"},
		"model request":                {"/v1/chat/completions", chat(text, false), ""},
		modelStream:                    {"/v1/chat/completions", chat(text, true), ""},
	}
}

// expectError sends a request to a new gateway whose only server responds in this way, and checks that the caller gets an
// error that does not say that the request has not run.
func expectError(t *testing.T, request rawRequest, respond func(c *net.TCPConn)) {
	t.Helper()
	g := newTestGateway(t, withClaims(t, providerfake.NewStore(), "a"))
	s := g.startRawServer(t, respond)
	req, err := http.NewRequest(http.MethodPost, g.url+request.path, strings.NewReader(request.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secretA)
	if request.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", request.idempotencyKey)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatalf("the caller got no response: %v", err)
	}
	defer func() { _ = res.Body.Close() }() // The body has been read.
	body, err := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusBadGateway || res.Header.Get("X-Request-Ran") != "may have run" || s.Requests() == 0 {
		t.Errorf("the caller got status %d, body %q, error %v after %d requests to the server; want %d", res.StatusCode, body, err, s.Requests(), http.StatusBadGateway)
	}
}

// forgedStream is the body of a complete stream.
const forgedStream = "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"forged\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

// testMalformed checks that the caller of each kind of request gets an error for the responses that malformed returns for a
// body.
func testMalformed(t *testing.T, malformed func(lines, body string) map[string]string) {
	t.Helper()
	for kind, request := range rawRequests("tokens=4") {
		body := "forged"
		if kind == modelStream {
			body = forgedStream
		}
		for name, response := range malformed("", body) {
			t.Run(name+", "+kind, func(t *testing.T) { expectError(t, request, fake.Respond(response)) })
		}
	}
}

// TestInvalidStatus guards against a response without a valid status that a caller gets, or that ends the request without a
// response.
func TestInvalidStatus(t *testing.T) { testMalformed(t, fake.InvalidStatuses) }

// TestInvalidFieldNames guards against a response with a field name that net/http accepts and does not understand, so that it
// takes other bytes for the body.
func TestInvalidFieldNames(t *testing.T) { testMalformed(t, fake.InvalidFieldNames) }

// TestFoldedHeads guards against a header line that begins with a blank and that net/http appends to the field before it.
func TestFoldedHeads(t *testing.T) { testMalformed(t, fake.FoldedHeads) }

// TestResetDuringUpload guards against the part of a response that a caller gets as a whole one: a server answers before it
// has read a long body, without a length, and resets the connection.
func TestResetDuringUpload(t *testing.T) {
	const textBytes = 8<<20 - 100
	for kind, request := range rawRequests(strings.Repeat("x", textBytes)) {
		t.Run(kind, func(t *testing.T) {
			for range 10 {
				expectError(t, request, fake.RespondAndReset("HTTP/1.1 200 OK\r\n\r\npart"))
			}
		})
	}
}
