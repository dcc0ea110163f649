// Package servercounts reads the usage counts that backend servers keep for the requests that they run. These counts are
// still available after the host that sent the requests has failed.
package servercounts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/requesttag"
)

// countsPath is the URL path under which backend servers return their counts by request id.
const countsPath = "/counts"

// maxCountsBytes limits the counts that are read from a server.
const maxCountsBytes = 64 << 20

// ReadError is returned if the counts of a backend server cannot be read.
type ReadError struct {
	Server string
	Cause  error
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("cannot read the usage counts of backend server %s (%v); keep the server running until they are read, or accept usage reports without them", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// tokenCount is the JSON form of the count of one request.
type tokenCount struct {
	Prompt, Cached, Output int64
}

// Reader reads counts from backend servers over HTTP.
type Reader struct {
	resolve func(server string) (netip.AddrPort, bool)
	http    *http.Client
}

// NewReader returns a Reader that sends its requests through rt. The function resolve returns the address of a server
// by its name.
func NewReader(resolve func(server string) (netip.AddrPort, bool), rt http.RoundTripper) *Reader {
	return &Reader{resolve: resolve, http: &http.Client{Transport: rt}}
}

// Counts returns the server's counts of the requests whose tag starts with prefix, see [requesttag.Tag]. Some servers ignore
// the query and return all counts, so the result is filtered again.
func (r *Reader) Counts(ctx context.Context, server, prefix string) (map[requesttag.Tag]meter.Usage, error) {
	addr, ok := r.resolve(server)
	if !ok {
		return nil, &ReadError{server, fmt.Errorf("the server is not in the configuration")}
	}
	u := url.URL{Scheme: "http", Host: addr.String(), Path: countsPath, RawQuery: url.Values{"prefix": {prefix}}.Encode()}
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
	var counts map[string]tokenCount
	if err := json.NewDecoder(io.LimitReader(res.Body, maxCountsBytes)).Decode(&counts); err != nil {
		return nil, &ReadError{server, err}
	}
	return filterCounts(counts, prefix), nil
}

// filterCounts returns the usage of the requests whose id starts with prefix and is a valid tag.
func filterCounts(counts map[string]tokenCount, prefix string) map[requesttag.Tag]meter.Usage {
	out := map[requesttag.Tag]meter.Usage{}
	for id, c := range counts {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		if t, err := requesttag.Parse(id); err == nil {
			out[t] = meter.Usage{PromptTokens: c.Prompt, OutputTokens: c.Output}
		}
	}
	return out
}
