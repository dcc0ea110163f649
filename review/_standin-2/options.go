package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// options sends "OPTIONS *" with all headers of a request, on a connection on which ordinary requests come before and after.
// Without the disruption the same requests go to a path that no route has.
func options(r *recorder, trouble bool) (broken bool) {
	d := newDeployment(r)
	defer d.close()
	d.configure(3, 0)
	s := d.startServer("i-desk0", "desk", "atyrau-a", 6)
	h := d.addHost("atyrau-a", d.storeAddr)
	d.start(h)
	d.awaitReady(h)
	c, err := net.DialTimeout("tcp4", d.frontOf(h), time.Second)
	must(err)
	defer func() { _ = c.Close() }()
	must(c.SetDeadline(time.Now().Add(10 * time.Second)))
	in := bufio.NewReader(c)
	odd := "*"
	if !trouble {
		odd = "/none/x"
	}
	for i, line := range []string{"GET /status/x", "OPTIONS " + odd, "GET /status/y", "OPTIONS " + odd} {
		id := fmt.Sprintf("client-%d", i)
		_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n\r\n", line, id)
		must(err)
		res, err := http.ReadResponse(in, &http.Request{Method: "GET"})
		must(err)
		_ = res.Body.Close()
		r.line("request %s: %s: status %d, X-Attempt-Id %q, X-Response-Seal %q", id, line, res.StatusCode, res.Header.Get("X-Attempt-Id"), res.Header.Get("X-Response-Seal"))
		if res.StatusCode/100 == 2 && res.Header.Get("X-Response-Seal") == "" {
			broken = true
		}
	}
	for _, run := range s.Runs() {
		r.line("the runner %s ran request %s, path %s", s.ID, run.Attempt, run.Path)
	}
	return broken
}
