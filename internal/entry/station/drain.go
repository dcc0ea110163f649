package station

import (
	"net/http"
	"time"
)

const (
	// rotationTime is how long the balancer may take to send no new connections: two checks, a second apart.
	rotationTime = 2500 * time.Millisecond
	// lingerTime is how long callers on kept connections may still send requests that are served: each
	// answer asks them to leave. Later ones might not end before the process is killed.
	lingerTime = 2800 * time.Millisecond
	// killMargin is kept before the process is killed.
	killMargin = 700 * time.Millisecond
	// drainPoll is how often open requests are counted.
	drainPoll = 50 * time.Millisecond
)

// drain stops in order: readiness off and callers asked to leave, then new requests refused, then the wait
// for open ones, bounded by the grace.
func (s *Host) drain(callers *http.Server) {
	began := time.Now()
	s.stopping.Store(true)
	s.edge.Drain()
	if s.duty != nil {
		s.resign()
	}
	s.log.Info().Str("Event", "Stopping").Int64("Open", s.edge.InFlight()).Send()
	end := began.Add(s.config().Grace - killMargin)
	quiet := time.Time{}
	for now := time.Now(); now.Before(end); now = time.Now() {
		if now.Sub(began) > lingerTime {
			s.edge.RefuseNew()
		}
		switch {
		case s.edge.InFlight() > 0:
			quiet = time.Time{}
		case quiet.IsZero():
			quiet = now
		case now.Sub(began) > lingerTime && now.Sub(quiet) > rotationTime/2:
			end = now
		}
		time.Sleep(drainPoll)
	}
	if n := s.edge.InFlight(); n > 0 {
		s.log.Warn().Str("Event", "RequestsCut").Int64("Open", n).Send()
	}
	_ = callers.Close() // What is open now has had all the time that there is.
}
