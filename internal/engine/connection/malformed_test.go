package connection_test

import (
	"testing"

	"shallotramp/internal/engine/fake"
)

// rawRoundTrip sends a request to a server that sends these bytes, and returns the body of the response.
func rawRoundTrip(t *testing.T, response string) (string, error) {
	t.Helper()
	s, err := fake.StartRawServer(fake.Respond(response))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	body, _, err := roundTrip(t.Context(), newPool(new(int)), s.Addr(), "a", nil, false)
	return body, err
}

// TestInvalidStatus guards against a response without a valid status that is skipped or counts as a response.
func TestInvalidStatus(t *testing.T) {
	for name, response := range fake.InvalidStatuses("Id: a\r\n", "forged") {
		t.Run(name, func(t *testing.T) {
			if body, err := rawRoundTrip(t, response); err == nil {
				t.Errorf("got a response with the body %q, want an error", body)
			}
		})
	}
}

// TestInvalidFieldNames guards against a response with a field name that net/http accepts and does not understand, so that it
// takes other bytes for the body.
func TestInvalidFieldNames(t *testing.T) {
	tests := fake.InvalidFieldNames("Id: a\r\n", "forged")
	tests["an informational response"] = "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 6\r\n\r\nforged"
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			if body, err := rawRoundTrip(t, response); err == nil {
				t.Errorf("got a response with the body %q, want an error", body)
			}
		})
	}
}

// TestFoldedHeads guards against a header line that begins with a blank and that net/http appends to the field before it.
func TestFoldedHeads(t *testing.T) {
	for name, response := range fake.FoldedHeads("Id: a\r\n", "forged") {
		t.Run(name, func(t *testing.T) {
			if body, err := rawRoundTrip(t, response); err == nil {
				t.Errorf("got a response with the body %q, want an error", body)
			}
		})
	}
	t.Run("after a response to another request", func(t *testing.T) {
		other := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
		if body, err := rawRoundTrip(t, other+fake.FoldedHeads("Id: a\r\n", "forged")["a blank"]); err == nil {
			t.Errorf("got a response with the body %q, want an error", body)
		}
	})
}

func TestValidResponses(t *testing.T) {
	for name, response := range fake.ValidResponses("Id: a\r\n") {
		t.Run(name, func(t *testing.T) {
			if body, err := rawRoundTrip(t, response); err != nil || body != "valid" {
				t.Errorf("got the body %q, error %v", body, err)
			}
		})
	}
}
