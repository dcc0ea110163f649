// Package record reads backend servers' own counts of the requests that they ran:
// the second record of use, which survives the host that sent them.
package record

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/tag"
)

// path is where backend servers serve their counts by request id.
const path = "/counts"

// ReadError is a backend server whose counts could not be read.
type ReadError struct {
	Server string
	Cause  error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("backend server %s gave no counts (%v); keep it running until they are read, or accept the figures without them", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// count is one request's count on the wire.
type count struct {
	Prompt, Cached, Output int64
}

// Reader reads counts over HTTP.
type Reader struct {
	resolve func(server string) (netip.AddrPort, bool)
	http    *http.Client
}

// NewReader returns a Reader that finds servers' addresses by resolve.
func NewReader(resolve func(server string) (netip.AddrPort, bool), rt http.RoundTripper) *Reader {
	return &Reader{resolve: resolve, http: &http.Client{Transport: rt}}
}

// Counts returns the server's counts of the requests whose tag begins with prefix. Servers that ignore the
// query send all counts; those that do not match are dropped here.
func (r *Reader) Counts(ctx context.Context, server, prefix string) (map[tag.Tag]meter.Usage, error) {
	addr, ok := r.resolve(server)
	if !ok {
		return nil, &ReadError{server, fmt.Errorf("it is not in the configuration")}
	}
	u := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: url.Values{"prefix": {prefix}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, &ReadError{server, err}
	}
	res, err := r.http.Do(req)
	if err != nil {
		return nil, &ReadError{server, err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, &ReadError{server, fmt.Errorf("status %d", res.StatusCode)}
	}
	var counts map[string]count
	if err := json.NewDecoder(res.Body).Decode(&counts); err != nil {
		return nil, &ReadError{server, err}
	}
	return matching(counts, prefix), nil
}

func matching(counts map[string]count, prefix string) map[tag.Tag]meter.Usage {
	out := map[tag.Tag]meter.Usage{}
	for id, c := range counts {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		if t, err := tag.Parse(id); err == nil {
			out[t] = meter.Usage{PromptTokens: c.Prompt, OutputTokens: c.Output}
		}
	}
	return out
}
