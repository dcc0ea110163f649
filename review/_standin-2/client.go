package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// clientTimeout is longer than any answer of the routes takes.
const clientTimeout = 20 * time.Second

// client is an ordinary client.
type client struct {
	http *http.Client
	next atomic.Int64
	name string
}

func newClient(name string) *client {
	return &client{name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: clientTimeout}}
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	sent   time.Time
	got    time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("request %s: no answer: %v", a.id, a.err)
	}
	return fmt.Sprintf("request %s: status %d, seal %q, %d bytes in %d ms", a.id, a.status, a.header.Get("X-Response-Seal"), len(a.body), a.got.Sub(a.sent).Milliseconds())
}

// send sends one request and reads the answer.
func (c *client) send(ctx context.Context, addr, method, path string, deadlineMs int, body string, headers ...string) answer {
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.next.Add(1)), sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	req.Header.Set("Authorization", "Token key-1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	a.status, a.header, a.body, a.err, a.got = res.StatusCode, res.Header, string(raw), err, time.Now()
	return a
}
