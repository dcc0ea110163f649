package admission

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// lineInterval is the time between two log lines about one kind of refusal: a crowd must not fill the log.
const lineInterval = 10 * time.Second

// Reporter counts and logs refusals. Create it with [NewReporter].
type Reporter struct {
	set *metrics.Set
	log zerolog.Logger

	mu sync.Mutex
	// loggedAt is when a kind was logged last, and since the refusals after that.
	loggedAt map[Kind]time.Time
	since    map[Kind]int
}

// NewReporter returns a Reporter that counts in set and logs to log.
func NewReporter(set *metrics.Set, log zerolog.Logger) *Reporter {
	return &Reporter{set: set, log: log, loggedAt: map[Kind]time.Time{}, since: map[Kind]int{}}
}

// Refused counts one refusal of a caller at an address, and logs it at most once in lineInterval for each kind.
func (r *Reporter) Refused(k Kind, addr netip.Addr) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`shallotramp_callers_refused_total{kind=%q,address=%q}`, k, class(addr))).Inc()
	r.mu.Lock()
	r.since[k]++
	n, now := r.since[k], time.Now()
	if now.Sub(r.loggedAt[k]) < lineInterval {
		r.mu.Unlock()
		return
	}
	r.loggedAt[k], r.since[k] = now, 0
	r.mu.Unlock()
	r.log.Warn().Str("Event", "CallersRefused").Stringer("Kind", k).Stringer("Latest", addr).Int("Count", n).Send()
}

// class returns the class of a caller's address, as a label for each address would have no bound.
func class(a netip.Addr) string {
	switch {
	case a.IsLoopback():
		return "loopback"
	case a.IsPrivate():
		return "private"
	}
	return "public"
}
