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

const (
	heartbeat = 1200 * time.Millisecond
	// workTime is how long a plain request runs. A stream has streamEvents events, one each eventInterval.
	workTime      = 30 * time.Millisecond
	streamEvents  = 58
	eventInterval = 20 * time.Millisecond
	// plainSlots and plainQueue are the places of a runner of the plain service, engineSlots those of a model runner.
	plainSlots, plainQueue = 6, 24
	engineSlots            = 64
)

// run is a request that a runner began to run.
type run struct {
	attempt, runner string
	// after is the event after which a stream was resumed.
	after int
}

// runner is a stand-in of a sound runner, apart from the trouble that spoil adds.
type runner struct {
	id, service, zone string
	slots, queue      int
	l                 net.Listener
	rec               *recorder
	// spoil is called for each request that runs, with the number of such requests so far. If it returns true, it has
	// answered the request on the hijacked connection.
	spoil func(n int, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	running  int
	sequence int
	runs     int
	born     int64
}

func startRunner(id, service, zone, ip string, slots, queue int, rec *recorder) (*runner, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	x := &runner{id: id, service: service, zone: zone, slots: slots, queue: queue, l: l, rec: rec, born: time.Now().UnixMilli()}
	srv := &http.Server{Handler: x, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }() // It ends with the process.
	return x, nil
}

// beat writes the runner's entry.
func (x *runner) beat(s *store) {
	x.mu.Lock()
	x.sequence++
	n := x.sequence
	x.mu.Unlock()
	s.put("servers", x.id, map[string]any{
		"service": x.service, "address": x.l.Addr().String(), "zone": x.zone, "version": "v1", "slots": x.slots,
		"state": "ready", "coldLeftMs": 0, "sequence": n, "born": x.born,
	})
}

// take takes a place for a request. It returns false if the runner is full.
func (x *runner) take() (n int, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= x.slots+x.queue {
		return 0, false
	}
	x.running++
	x.runs++
	return x.runs, true
}

func (x *runner) leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// ServeHTTP implements [http.Handler].
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h, attempt := w.Header(), r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	switch {
	case attempt == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != x.id:
		h.Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, ok := x.take()
	if !ok {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer x.leave()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
	x.rec.ran(run{attempt, x.id, after})
	h.Set("X-Response-Seal", x.seal(attempt))
	if x.spoil != nil && x.spoil(n, w, r) {
		return
	}
	if r.Header.Get("X-Token-Usage") != "" {
		x.stream(w, r, attempt, after)
		return
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, plainBody(attempt, x.id)) // The caller may have gone.
}

// seal is the signature of an answer.
func (x *runner) seal(attempt string) string { return "s." + x.id + "." + attempt }

// plainBody is the whole body of a runner's answer to a plain request.
func plainBody(attempt, id string) string {
	return "answer of " + id + " to " + attempt + " " + strings.Repeat("x", 760) + "\n"
}

// event is one event of a stream. Each runner makes the same events for a request.
func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s %s\n\n", i, i, attempt, strings.Repeat("y", 20))
}

// wholeStream is the body of a whole stream.
func wholeStream(attempt string) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(event(attempt, i))
	}
	return b.String()
}

func (x *runner) stream(w http.ResponseWriter, r *http.Request, attempt string, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := after + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, event(attempt, i)); err != nil || rc.Flush() != nil {
			return
		}
	}
}
