package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// route is a kind of request.
type route struct {
	name, kind        string
	timeoutMs, goalMs int
	// deadlineMs is how long clients wait.
	deadlineMs int
	perSecond  float64
	resumable  bool
}

const (
	siteHost = "ficu95.example"
	apiKey   = "xd9dnn2ctnfzs989anu6"
	tenant   = "huka270"
)

// answer is what a client saw of one attempt.
type answer struct {
	attempt, route, edge string
	sentAt               time.Time
	status               int
	sealed               bool
	// kept is set if the request was sent on a connection that had carried another one.
	kept bool
	body string
	// err says why the answer is missing or not complete.
	err  string
	took time.Duration
}

// clients are the clients of one edge. They keep connections.
type clients struct {
	edge *edge
	rec  *recorder
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
}

// get returns a connection and whether it was kept from an earlier request.
func (c *clients) get() (conn *clientConn, kept bool, err error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(x.idleSince) < 8*time.Second {
			c.mu.Unlock()
			return x, true, nil
		}
		_ = x.Close()
	}
	c.mu.Unlock()
	d, err := net.DialTimeout("tcp4", c.edge.front(), time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: d, br: bufio.NewReader(d)}, false, nil
}

// send sends one attempt and records the answer.
func (c *clients) send(attempt string, rt route) {
	a := answer{attempt: attempt, route: rt.name, edge: c.edge.name, sentAt: time.Now()}
	defer func() {
		a.took = time.Since(a.sentAt)
		c.rec.answered(a)
	}()
	conn, kept, err := c.get()
	a.kept = kept
	if err != nil {
		a.err = "no connection: " + err.Error()
		return
	}
	keep := false
	defer func() {
		if !keep {
			_ = conn.Close()
			return
		}
		conn.idleSince = time.Now()
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}()
	wait, method, body, extra := rt.deadlineMs, http.MethodPost, strings.Repeat("b", 600), ""
	switch rt.kind {
	case "safe":
		method, body = http.MethodGet, ""
	case "streaming":
		extra = "X-Model: m\r\nX-Token-Usage: 600,200\r\nX-Prompt-Prefix: 5c1e07a2:120," + attempt[:8] + ":480\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(time.Duration(wait) * time.Millisecond)) // An error shows in the next call.
	head := fmt.Sprintf("%s /%s/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s", method, rt.name, siteHost, attempt, wait, apiKey, extra)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		a.err = "closed while sending: " + err.Error()
		return
	}
	res, err := http.ReadResponse(conn.br, &http.Request{Method: method})
	if err != nil {
		a.err = "no answer: " + err.Error()
		return
	}
	a.status, a.sealed = res.StatusCode, res.Header.Get("X-Response-Seal") != ""
	raw, err := io.ReadAll(res.Body)
	a.body = string(raw)
	if err != nil {
		a.err = "cut: " + err.Error()
		return
	}
	keep = !res.Close
}

// load sends requests at the routes' rates until end. Each zone's clients connect to the edges of their zone.
func load(w *world, end time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	groups := map[string][]*clients{}
	for _, e := range w.edges {
		groups[e.zone] = append(groups[e.zone], &clients{edge: e, rec: w.rec})
	}
	for i, rt := range w.site.routes {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(time.Now().UnixNano())))
			for n := 0; time.Now().Before(end); n++ {
				attempt := fmt.Sprintf("%08x%s%06d", rng.Uint32(), rt.name[:2], n)
				l := groups[w.site.drawZone(rng)]
				g := l[rng.IntN(len(l))]
				wg.Go(func() { g.send(attempt, rt) })
				time.Sleep(time.Duration(rng.ExpFloat64() / rt.perSecond * float64(time.Second)))
			}
		})
	}
	return &wg
}
