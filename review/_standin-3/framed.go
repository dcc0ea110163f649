package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// framedCase lets one of three runners spoil one in twenty of its answers for a few seconds: it sends them in chunks under a status
// line of HTTP/1.0, which has no chunks. No client may get a success whose body is not that of the runner.
func framedCase(d *deployment, trouble bool) (bool, error) {
	for i, zone := range zones {
		r, err := d.addRunner(fmt.Sprintf("i-app-%d", i+1), "bookings-app", zone, 6)
		if err != nil {
			return false, err
		}
		r.work = 20 * time.Millisecond
	}
	if err := d.configure([]route{bookRoute}, []map[string]any{bookingService()}); err != nil {
		return false, err
	}
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	wait := traffic(20*time.Millisecond, stop, func(n int) answer {
		return d.send(d.hosts[zones[n%3]], fmt.Sprintf("/book/%d", n), fmt.Sprintf("booking %d", n), 2500*time.Millisecond, nil)
	})
	time.Sleep(4 * time.Second)
	spoiler := d.runners[0]
	if trouble {
		spoiler.spoil(20)
		d.add("runner %s begins to spoil one in 20 of its answers", spoiler.id)
	}
	time.Sleep(5500 * time.Millisecond)
	spoiler.spoil(0)
	d.add("runner %s spoils no more", spoiler.id)
	time.Sleep(3 * time.Second)
	close(stop)
	answers := wait()
	wrong := 0
	for _, a := range answers {
		if a.status < 200 || a.status > 299 || !a.whole {
			continue
		}
		own := false
		for _, r := range d.runners {
			own = own || a.body == r.answerTo(a.id)
		}
		if !own {
			wrong++
			d.add("request %s got status %d with the body %q", a.id, a.status, a.body)
		}
	}
	d.add("%d of %d requests got a success with another body than the runner's; the runner had spoiled %d answers", wrong, len(answers), spoiler.spoiled)
	fmt.Printf("%d of %d requests got a success with another body than the runner's, %d answers were spoiled\n", wrong, len(answers), spoiler.spoiled)
	return wrong > 0, nil
}

// answerTo returns the body of the runner's answer to a plain request.
func (r *runner) answerTo(id string) string { return "ran " + id + " on " + r.name }

// spoil makes the runner spoil one in a number of its answers; none if that is 0.
func (r *runner) spoil(oneIn int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoilOneIn, r.untilSpoiled = oneIn, oneIn
}

// spoils reports whether the runner spoils its next answer.
func (r *runner) spoils() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spoilOneIn == 0 {
		return false
	}
	if r.untilSpoiled--; r.untilSpoiled > 0 {
		return false
	}
	r.untilSpoiled = r.spoilOneIn
	r.spoiled++
	return true
}

// answerSpoiled sends an answer in chunks under a status line of HTTP/1.0.
func (r *runner) answerSpoiled(w http.ResponseWriter, id string) {
	c, bw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	body := r.answerTo(id)
	text := "HTTP/1.0 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + r.name + "-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if _, err := io.Copy(bw, strings.NewReader(text)); err == nil {
		_ = bw.Flush()
	}
}
