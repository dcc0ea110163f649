package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// cases are the cases by name. Each returns the exit code and a line that says what was seen.
var cases = map[string]func(w *world, trouble bool) (int, string){
	"stray":      playStray,
	"junk":       playJunk,
	"flood":      playFlood,
	"handover":   playHandover,
	"unreadable": playUnreadable,
}

// site is a small deployment, with the figures of a site file.
type site struct {
	zones        []string
	edgesPerZone []int
	// perSecond are the requests a second of each zone's clients.
	perSecond []float64
	memoryMb  int
	// plain and model are the services, with their numbers of runners.
	plain, model               string
	plainRunners, modelRunners int
	modelQueue, kvCapacity     int
	routes                     []route
}

// drawZone draws the zone of a client.
func (s site) drawZone(rng *rand.Rand) string {
	total := 0.0
	for _, n := range s.perSecond {
		total += n
	}
	x := rng.Float64() * total
	for i, n := range s.perSecond {
		if x < n {
			return s.zones[i]
		}
		x -= n
	}
	return s.zones[0]
}

// service returns the service of a route.
func (s site) service(rt route) string {
	if rt.kind == "streaming" {
		return s.model
	}
	return s.plain
}

// threadwell has the figures of threadwell-midlands, without its longest requests and with a third of its model runners.
var threadwell = site{
	zones: []string{"mid-a", "mid-b", "mid-c"}, edgesPerZone: []int{3, 2, 2}, perSecond: []float64{31.3, 28.3, 32.2}, memoryMb: 284,
	plain: "bookings-app", model: "shallot-pool", plainRunners: 3, modelRunners: 3, modelQueue: 134, kvCapacity: 506016,
	routes: []route{
		{name: "book-fitter", kind: "unsafe", timeoutMs: 1200, goalMs: 150, deadlineMs: 2500, perSecond: 17},
		{name: "slot-lookup", kind: "safe", timeoutMs: 1200, goalMs: 150, deadlineMs: 2500, perSecond: 6.8},
		{name: "slot-chat", kind: "streaming", timeoutMs: 15000, goalMs: 250, deadlineMs: 15000, perSecond: 35.1, resumable: true},
	},
}

// setUp starts the deployment.
func setUp(w *world, s site) error {
	w.site = s
	w.configure()
	if err := w.addRunners(s.plain, s.plainRunners, plainSlots, plainQueue); err != nil {
		return err
	}
	if err := w.addRunners(s.model, s.modelRunners, engineSlots, s.modelQueue); err != nil {
		return err
	}
	if err := w.startEdges(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // The edges are in touch contactMs after their start.
	return nil
}

const (
	calmTime    = 6 * time.Second
	troubleTime = 20 * time.Second
)

// playStray: another writer, for example an older tool that lists its own web servers, writes an entry of kind servers for
// each zone, in which fields are missing. At their address a web server that is no runner says 404 to all paths.
func playStray(w *world, trouble bool) (int, string) {
	if err := setUp(w, threadwell); err != nil {
		return couldNotRun, err.Error()
	}
	foreign, err := serve(w.net+".9.1:0", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.rec.note("the web server that is no runner got %s %s of attempt %s", r.Method, r.URL.Path, r.Header.Get("X-Attempt-Id"))
		rw.Header().Set("Connection", "close")
		http.NotFound(rw, r)
	}))
	if err != nil {
		return couldNotRun, err.Error()
	}
	wg := load(w, time.Now().Add(calmTime+troubleTime))
	time.Sleep(calmTime)
	if trouble {
		for _, z := range w.site.zones {
			w.rec.note("another writer writes an entry of zone %s without version, slots, coldLeftMs, sequence and born", z)
			w.store.put("servers", "web-"+z, map[string]any{"service": "bookings-app", "address": foreign, "zone": z, "state": "ready"})
		}
	}
	wg.Wait()
	denied, lost := 0, 0
	for _, a := range w.rec.answers {
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.sealed {
			denied++
			if a.route == "book-fitter" {
				lost++
			}
		}
	}
	limit := 5 + len(w.rec.answers)/500
	result := fmt.Sprintf("DENIED: %d of %d requests ended with a 3xx or 4xx that bears no runner's seal, %d of them bookings; allowed are %d", denied, len(w.rec.answers), lost, limit)
	if denied > limit {
		return broken, result
	}
	return held, result
}

// junkText is what a faulty model runner writes into its stream before bytes without end: the trace of its crash.
const junkText = "panic: runtime error: index out of range [64] with length 64\n\ngoroutine 41 [running]:\nmain.(*batch).step(0x400012a000)\n\n"

// playJunk: a model runner writes bytes that are no answer into some of its streams, without end, until the caller closes.
func playJunk(w *world, trouble bool) (int, string) {
	if err := setUp(w, threadwell); err != nil {
		return couldNotRun, err.Error()
	}
	bad := w.runners[3]
	var begin, end time.Time
	if trouble {
		begin = time.Now().Add(calmTime)
		end = begin.Add(5500 * time.Millisecond)
		bad.spoil = func(n int, rw http.ResponseWriter, r *http.Request) bool {
			if now := time.Now(); now.Before(begin) || now.After(end) || n%34 != 0 || r.Header.Get("Last-Event-Id") != "" {
				return false
			}
			bad.writeJunk(rw, r)
			return true
		}
	}
	wg := load(w, time.Now().Add(calmTime+9*time.Second))
	wg.Wait()
	streams, mixed, cutWithJunk := 0, 0, 0
	for _, a := range w.rec.answers {
		if a.route != "slot-chat" || a.status != http.StatusOK {
			continue
		}
		streams++
		whole := wholeStream(a.attempt)
		switch {
		case a.err == "" && a.sealed && a.body != whole:
			mixed++
			w.rec.note("attempt %s: a complete success whose body is no runner's: %q ...", a.attempt, a.body[:min(len(a.body), 900)])
		case a.err != "" && !strings.HasPrefix(whole, a.body):
			cutWithJunk++
		}
	}
	result := fmt.Sprintf("MIXED: %d of %d streams were complete successes with bytes that are no answer in them; %d more were cut after such bytes", mixed, streams, cutWithJunk)
	if mixed > 0 {
		return broken, result
	}
	return held, result
}

// writeJunk sends five events of a stream, then bytes that are no answer, without end, until the caller closes.
func (x *runner) writeJunk(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	x.rec.note("runner %s spoils the stream of %s", x.id, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	write := func(text string) bool {
		_, err := io.WriteString(w, text)
		return err == nil && rc.Flush() == nil
	}
	for i := 1; i <= 5; i++ {
		time.Sleep(eventInterval)
		if !write(event(attempt, i)) {
			return
		}
	}
	if !write(junkText) {
		return
	}
	for zeros := strings.Repeat("\x00", 16<<10); write(zeros); {
	}
}
