package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// wholeThreadwell has all model runners and requests of threadwell-midlands.
var wholeThreadwell = func() site {
	s := threadwell
	s.modelRunners = 9
	s.routes = append([]route{
		{name: "job-brief", kind: "streaming", timeoutMs: 5000, goalMs: 400, deadlineMs: 5000, perSecond: 32.9},
	}, threadwell.routes...)
	return s
}()

const (
	// A spell of trouble: all model runners answer floodShare of their requests with bytes without end.
	spells, spellTime, spellPause = 10, 4 * time.Second, 5 * time.Second
	floodShare                    = 0.45
	// floodPiece is sent each floodPause: 3 MB a second for each answer.
	floodPiece, floodPause = 256 << 10, 87 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	watchPause   = 20 * time.Millisecond
)

// inSpell reports whether there is trouble at a time since the begin of the traffic.
func inSpell(d time.Duration) bool {
	d -= calmTime
	return d >= 0 && d < spells*(spellTime+spellPause) && d%(spellTime+spellPause) < spellTime
}

// playFlood: model runners answer with bytes without end. The platform kills each process whose memory exceeds memoryMb, and
// starts it again.
func playFlood(w *world, trouble bool) (int, string) {
	if err := setUp(w, wholeThreadwell); err != nil {
		return couldNotRun, err.Error()
	}
	begin := time.Now()
	end := begin.Add(calmTime + spells*(spellTime+spellPause))
	if trouble {
		for _, x := range w.runners[wholeThreadwell.plainRunners:] {
			x.spoil = func(_ int, rw http.ResponseWriter, _ *http.Request) bool {
				if !inSpell(time.Since(begin)) || rand.Float64() >= floodShare {
					return false
				}
				flood(rw)
				return true
			}
		}
	}
	wg := load(w, end)
	ends := make([]int, len(w.edges))
	for time.Now().Before(end) {
		for i, e := range w.edges {
			if kb := memoryKB(e.cmd.Process.Pid); kb > wholeThreadwell.memoryMb<<10 {
				ends[i]++
				w.rec.note("%s has %d kB and is killed", e.name, kb)
				if err := w.restart(e); err != nil {
					return couldNotRun, err.Error()
				}
			}
		}
		time.Sleep(watchPause)
	}
	wg.Wait()
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	result := fmt.Sprintf("Fault: processes ended for their memory %v times on the %d machines, three times or more on %d of them; on two such machines it is a fault", ends, len(ends), machines)
	if machines >= 2 {
		return broken, result
	}
	return held, result
}

// flood answers with a failure whose body has no end, until the caller closes.
func flood(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusInternalServerError)
	for zeros := strings.Repeat("\x00", floodPiece); ; time.Sleep(floodPause) {
		if _, err := io.WriteString(w, zeros); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// memoryKB returns the memory of a process that this program started, without the pages of its program file.
func memoryKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // It has ended.
	}
	for line := range strings.Lines(string(raw)) {
		kb := 0
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// restart kills the process of an edge and starts it again after a short delay.
func (w *world) restart(e *edge) error {
	e.kill()
	time.Sleep(restartDelay)
	if err := os.WriteFile(e.settings, []byte(w.settings(e, false)), 0o600); err != nil {
		return err
	}
	return w.startEdge(e)
}
