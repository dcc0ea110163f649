package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a runner as the pages describe it.
type runner struct {
	d                   *deployment
	name, id            string
	service, zone, addr string
	slots               int
	// work is how long a plain request runs. A stream has a number of events with a pause before each.
	work, pause time.Duration
	events      int
	// crashOn makes the runner crash soon after it has begun to run a request whose body holds this text; it is back after down.
	crashOn string
	down    time.Duration
	// crashAfter is how long it runs until it crashes.
	crashAfter time.Duration
	// crashPart makes the runner crash when it begins to write an answer on a prompt with this part.
	crashPart string
	// writes is how long it writes that answer until it crashes.
	writes time.Duration
	// renamed makes each incarnation register under a new id.
	renamed     bool
	starts      int
	mu          sync.Mutex
	server      *http.Server
	conns       map[net.Conn]bool
	born        int64
	up, leaving bool
	draining    bool
	arrivals    []arrival
	crashes     []time.Time
	running     int
	// spoilOneIn, untilSpoiled and spoiled count the answers that are spoiled.
	spoilOneIn, untilSpoiled, spoiled int
	lost                              int
}

// arrival is a request that has reached the runner.
type arrival struct {
	at   time.Time
	id   string
	body string
}

// addRunner starts a runner at a free port.
func (d *deployment) addRunner(id, service, zone string, slots int) (*runner, error) {
	r := &runner{d: d, name: id, id: id, service: service, zone: zone, slots: slots, conns: map[net.Conn]bool{}, work: 30 * time.Millisecond, pause: 20 * time.Millisecond, crashAfter: 20 * time.Millisecond, events: 10}
	r.addr = fmt.Sprintf("%s.%d:0", d.net, 101+len(d.runners))
	d.runners = append(d.runners, r)
	return r, r.start()
}

// start starts a new incarnation and writes its entry.
func (r *runner) start() error {
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr, r.born, r.up, r.leaving, r.draining = l.Addr().String(), time.Now().UnixMilli(), true, false, false
	if r.starts++; r.renamed {
		r.id = fmt.Sprintf("%s-%d", r.name, r.starts)
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch s {
		case http.StateNew:
			r.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(r.conns, c)
		case http.StateActive, http.StateIdle:
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.mu.Unlock()
	r.d.add("runner %s (%s, %s) starts", r.id, r.service, r.zone)
	return r.beat()
}

// entry returns what the runner says of itself in the store.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": r.born,
	}
}

// beat writes the runner's entry.
func (r *runner) beat() error { return r.d.store.Put("servers", r.id, r.entry()) }

// stop ends the incarnation at once: its connections are reset, and its entry lapses unless it starts again.
func (r *runner) stop(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	born, id := r.born, r.id
	r.lost += r.running
	r.d.add("runner %s ends (%s) with %d requests at work", r.id, why, r.running)
	server := r.server
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(entryLife, func() {
		r.mu.Lock()
		lapsed := r.id != id || r.born == born && !r.up
		r.mu.Unlock()
		if lapsed {
			r.d.store.Remove("servers", id)
		}
	})
}

// crash ends the incarnation and starts another one under the same id.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.stop("crash")
	time.AfterFunc(r.down, func() {
		if err := r.start(); err != nil {
			r.d.add("runner %s can't start again: %v", r.id, err)
		}
	})
}

// drain announces that the runner leaves. It returns when the store has accepted that.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.draining, r.leaving = true, true
	r.mu.Unlock()
	if err := r.beat(); err != nil {
		r.d.add("runner %s can't write: %v", r.id, err)
	}
	at := time.Now()
	r.d.add("the store has accepted that runner %s is draining", r.id)
	return at
}

// ServeHTTP implements [http.Handler].
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	r.mu.Lock()
	if req.Header.Get("X-Expect-Instance") != r.id {
		h.Set("X-Instance-Id", r.id)
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.arrivals = append(r.arrivals, arrival{time.Now(), id, string(body)})
	r.running++
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if r.crashOn != "" && strings.Contains(string(body), r.crashOn) {
		time.Sleep(r.crashAfter)
		r.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Response-Seal", "seal-"+r.id+"-"+id)
	deadly := r.crashPart != "" && strings.Contains(req.Header.Get("X-Prompt-Prefix"), r.crashPart)
	if deadly && r.writes == 0 {
		time.Sleep(r.pause)
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if deadly {
		time.AfterFunc(r.pause+r.writes, r.crash)
	}
	if req.Header.Get("X-Token-Usage") != "" {
		r.stream(w, req)
		return
	}
	select {
	case <-time.After(r.work):
		r.sayLeaving(h)
		if r.spoils() {
			r.answerSpoiled(w, id)
			return
		}
		_, _ = io.WriteString(w, r.answerTo(id))
	case <-req.Context().Done():
	}
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	rc := http.NewResponseController(w)
	for i := first; i <= r.events; i++ {
		select {
		case <-time.After(r.pause):
		case <-req.Context().Done():
			return
		}
		if i == first {
			r.sayLeaving(w.Header())
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// sayLeaving adds to the head of an answer that the runner leaves.
func (r *runner) sayLeaving(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
}

func (r *runner) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
