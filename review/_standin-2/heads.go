package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of connections of the crowd: a quarter of a machine's descriptors.
	crowdSize = 1050
	// headBytes of each head are sent: a quarter of the limit of the configuration, which is 16,384.
	headBytes = 5000
	// crowdTime is how long the crowd stays.
	crowdTime = 8 * time.Second
)

// heads sends many heads without end from one crowd of clients, while an ordinary client goes on.
func heads(r *recorder, trouble bool) (broken bool) {
	d := newDeployment(r)
	defer d.close()
	d.configure(3, 0)
	for i := range 2 {
		d.startServer(fmt.Sprintf("i-desk%d", i), "desk", "atyrau-a", 6)
	}
	h := d.addHost("atyrau-a", d.storeAddr)
	d.start(h)
	d.awaitReady(h)
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime+2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { ordinary(ctx, r, d.frontOf(h)) })
	time.Sleep(time.Second)
	r.line("before the crowd: %s", memoryOf(h))
	if trouble {
		wg.Go(func() { crowdOfHeads(ctx, r, d.frontOf(h)) })
	}
	highest := 0.0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !h.isRunning() {
			r.line("the process has ended")
			broken = true
			break
		}
		now := h.memory("RssAnon")
		if now > memoryMb && !broken {
			r.line("the process uses more than the %d MB of its machine, so the platform kills it: %s", memoryMb, memoryOf(h))
			broken = true
		}
		highest = max(highest, now)
	}
	r.line("at the end: %s; highest anonymous %.0f MB", memoryOf(h), highest)
	cancel()
	wg.Wait()
	return broken
}

func memoryOf(h *host) string {
	return fmt.Sprintf("%.0f MB, of it %.0f MB anonymous; highest %.0f MB; memoryMb is %d", h.memory("VmRSS"), h.memory("RssAnon"), h.memory("VmHWM"), memoryMb)
}

// ordinary sends ten requests a second until ctx ends.
func ordinary(ctx context.Context, r *recorder, addr string) {
	c := newClient("ordinary")
	sent, served := 0, 0
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		a := c.send(context.Background(), addr, http.MethodGet, "/status/x", 1500, "")
		sent++
		if a.status == http.StatusOK {
			served++
		}
		r.line("%s", a)
	}
	r.line("the ordinary client: %d requests, %d served", sent, served)
}

// crowdOfHeads opens crowdSize connections and sends on each the begin of a head, in short fields. It closes them when ctx ends.
func crowdOfHeads(ctx context.Context, r *recorder, addr string) {
	text := "GET /status/x HTTP/1.1\r\nHost: a.example\r\n" + shortFields(headBytes)
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for range 25 {
		wg.Go(func() {
			for range crowdSize / 25 {
				c, err := net.DialTimeout("tcp4", addr, time.Second)
				if err != nil {
					continue // The host may refuse a connection.
				}
				_, _ = fmt.Fprint(c, text)
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	r.line("the crowd has %d connections, each with %d bytes of a head", len(conns), len(text))
	<-ctx.Done()
	for _, c := range conns {
		_ = c.Close()
	}
}

// shortFields returns about n bytes of header fields with names of one character.
func shortFields(n int) string {
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%c:\r\n", chars[i%len(chars)])
	}
	return b.String()
}
