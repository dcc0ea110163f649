package edgehost

import (
	"net/http"
	"time"
)

const (
	// balancerDelay is how long the load balancer may take to stop sending new connections: it needs two readiness
	// checks, one second apart.
	balancerDelay = 2500 * time.Millisecond
	// keepAliveGrace is how long requests on kept-alive connections are still served. Each response closes its
	// connection. Requests that arrive later might not finish before the process is killed.
	keepAliveGrace = 2800 * time.Millisecond
	// answerMargin is the time before the end of draining in which the requests that are still open get their last answer.
	answerMargin = 300 * time.Millisecond
	// killMargin is the time left between the end of draining and the moment at which the process is killed.
	killMargin = 700 * time.Millisecond
	// drainPollInterval is the time between two checks for open requests.
	drainPollInterval = 50 * time.Millisecond
)

// drain ends the serving of requests in steps. It turns readiness off and closes connections after their next response,
// then refuses new requests, then waits for the open requests until the grace period is nearly over, and answers those that
// are left.
func (h *Host) drain(callers *http.Server) {
	start := time.Now()
	h.stopping.Store(true)
	h.proxy.Drain()
	if h.dutyLease != nil {
		h.resignLease()
	}
	h.log.Info().Str("Event", "Stopping").Int64("Open", h.proxy.OpenRequests()).Send()
	draining := h.config().Grace - killMargin
	deadline := start.Add(draining)
	refuseAfter := min(keepAliveGrace, draining/2)
	idleSince := time.Time{}
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if now.Sub(start) > refuseAfter {
			h.proxy.RefuseNew()
		}
		if now.Add(answerMargin).After(deadline) {
			h.proxy.EndRequests()
		}
		switch {
		case h.proxy.OpenRequests() > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		case now.Sub(start) > refuseAfter && now.Sub(idleSince) > balancerDelay/2:
			deadline = now
		}
		time.Sleep(drainPollInterval)
	}
	if n := h.proxy.OpenRequests(); n > 0 {
		h.log.Warn().Str("Event", "RequestsCut").Int64("Open", n).Send()
	}
	_ = callers.Close() // Requests that are still open have had all the time available.
}
