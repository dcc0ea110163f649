package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unreadConns is the number of connections of clients that do not read: a little more than a quarter of a machine's
	// descriptors.
	unreadConns = 1100
	// readRequests are sent on each if the answers are read, and otherwise as many as the host takes within blockedTime, up to
	// maxUnreadRequests: their answers then fill the buffers of the connection.
	readRequests, maxUnreadRequests = 4000, 30000
	blockedTime                     = 3 * time.Second
	// smallBuffer and segmentBytes make the buffers of a loopback connection like those of a link.
	smallBuffer, segmentBytes = 4096, 1400
	// ordinaryTime is how long the ordinary client tries to get through, which is longer than any time-out of the host.
	ordinaryTime = 25 * time.Second
)

// unread lets a crowd of clients send requests on kept connections and read no answer, while an ordinary client goes on. Without
// the disruption the crowd reads its answers.
func unread(r *recorder, trouble bool) (broken bool) {
	d := newDeployment(r)
	defer d.close()
	d.configure(3, 0)
	for i := range 2 {
		d.startServer(fmt.Sprintf("i-desk%d", i), "desk", "atyrau-a", 6)
	}
	h := d.addHost("atyrau-a", d.storeAddr)
	d.start(h)
	d.awaitReady(h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var crowd, sent sync.WaitGroup
	var requests atomic.Int64
	for i := range unreadConns {
		sent.Add(1)
		crowd.Go(func() { sendUnread(ctx, d.frontOf(h), i, !trouble, &requests, sent.Done) })
	}
	sent.Wait()
	d.awaitRest(h)
	r.line("the crowd of %d connections has sent %d requests; %s", unreadConns, requests.Load(), memoryOf(h))
	tried, served := 0, 0
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		c := newClient(fmt.Sprintf("ordinary-%d", tried))
		c.http.Timeout = 3 * time.Second
		a := c.send(context.Background(), d.frontOf(h), http.MethodGet, "/status/x", 1500, "")
		c.http.CloseIdleConnections()
		tried++
		if a.status == http.StatusOK {
			served++
		}
		r.line("%s", a)
	}
	r.line("the ordinary client: %d requests, %d served; the process runs: %t; %s; %s", tried, served, h.isRunning(), d.readiness(h), memoryOf(h))
	cancel()
	crowd.Wait()
	return served*4 < tried
}

// awaitRest waits until a host has answered no request for two seconds, for 40 seconds at most.
func (d *deployment) awaitRest(h *host) {
	last, since := "", time.Now()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && time.Since(since) < 2*time.Second; time.Sleep(200 * time.Millisecond) {
		if now := d.answers(h); now != last {
			last, since = now, time.Now()
		}
	}
	d.record.line("%s has answered, by its own metrics: %s", h.name, last)
}

// answers returns the numbers of a host's answers by status.
func (d *deployment) answers(h *host) string {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.ip, d.front+4))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	var out []string
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "shallotramp_answers_total") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return strings.Join(out, ", ")
}

// readiness returns what a host answers to the platform's check.
func (d *deployment) readiness(h *host) string {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, d.front+1))
	if err != nil {
		return "readiness: " + err.Error()
	}
	_ = res.Body.Close()
	return fmt.Sprintf("readiness: %d", res.StatusCode)
}

// sendUnread sends requests without a key on one connection and keeps it open until ctx ends. It calls sent once.
func sendUnread(ctx context.Context, addr string, i int, read bool, requests *atomic.Int64, sent func()) {
	done := sync.OnceFunc(sent)
	defer done()
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	c, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if read {
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
	limit := maxUnreadRequests
	if read {
		limit = readRequests
	}
	one := fmt.Sprintf("GET /status/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: crowd-%d\r\n\r\n", i)
	for range limit / 100 {
		_ = c.SetWriteDeadline(time.Now().Add(blockedTime))
		if _, err := io.WriteString(c, strings.Repeat(one, 100)); err != nil {
			break // The host reads no more of them.
		}
		requests.Add(100)
	}
	done()
	<-ctx.Done()
}
