package placement

import (
	"time"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/serverlimit"
)

// departedRetention is how long the words of a server are remembered after its entry has gone. Entries lapse while the store
// is away, and come back with the same start.
const departedRetention = 2 * time.Minute

// departed is what a server whose entry has gone had said in its answers.
type departed struct {
	info        backend.Server
	at          time.Time
	leaving     bool
	closedUntil time.Time
	limit       serverlimit.Notice
	limited     bool
}

// depart remembers what a server that is no longer listed has said.
func (p *Policy) depart(now time.Time, s *server) {
	d := departed{info: s.info, at: now, leaving: s.saysLeaving, closedUntil: s.closedUntil}
	d.limit, d.limited = p.serverLimits.Limit(s.info.ID)
	if d.leaving || d.limited || now.Before(d.closedUntil) {
		p.departed[s.info.ID] = d
	}
}

// recall gives a server that is listed again what it had said before. Another start of it has said nothing.
func (p *Policy) recall(now time.Time, s *server) {
	d, ok := p.departed[s.info.ID]
	if !ok {
		return
	}
	delete(p.departed, s.info.ID)
	if d.info.Addr != s.info.Addr || !d.info.StartedAt.Equal(s.info.StartedAt) {
		return
	}
	s.saysLeaving, s.closedUntil = d.leaving, d.closedUntil
	if d.limited {
		p.serverLimits.Note(now, d.limit)
	}
}

// forgetDeparted drops what was said too long ago.
func (p *Policy) forgetDeparted(now time.Time) {
	for id, d := range p.departed {
		if now.Sub(d.at) > departedRetention {
			delete(p.departed, id)
		}
	}
}
