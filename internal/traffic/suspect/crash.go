package suspect

import (
	"slices"
	"time"
)

const (
	// crashSpan is how long after a crash further broken attempts count to it.
	crashSpan = time.Second
	// massSpan and massServers tell the loss of a zone or a link from a request's doing: that many
	// servers breaking within the span clear requests that were on one of them only.
	massSpan    = 2 * time.Second
	massServers = 3
	// aliveDelay is how long after a supposed crash an earlier attempt's completion disproves it.
	aliveDelay = 100 * time.Millisecond
)

// crash is the last crash of a server. Attempts with a lower epoch began before it.
type crash struct {
	server string
	at     time.Time
	epoch  int
	// marked lists the fingerprints whose count this crash raised.
	marked []uint64
}

// broken lays a share of the blame for a crash on the attempt that broke.
func (t *Tracker) broken(now time.Time, r run) {
	c := t.servers[r.server]
	if c == nil || r.epoch >= c.epoch || now.Sub(c.at) > crashSpan {
		epoch := 1
		if c != nil {
			epoch = c.epoch + 1
		}
		c = &crash{server: r.server, at: now, epoch: epoch}
		t.servers[r.server] = c
		t.remember(now, c)
	}
	if !slices.Contains(c.marked, r.fingerprint) {
		c.marked = append(c.marked, r.fingerprint)
		t.blame(now, r.fingerprint)
	}
	t.pardonMass()
}

func (t *Tracker) blame(now time.Time, fp uint64) {
	m, ok := t.marks[fp]
	if !ok {
		m = t.newMark(fp)
	}
	if now.Sub(m.last) > markLife {
		m.own, m.pardoned = 0, t.foreign[fp]
	}
	m.own++
	m.last = now
}

// remember keeps the crashes of the last massSpan.
func (t *Tracker) remember(now time.Time, c *crash) {
	kept := t.recent[:0]
	for _, old := range t.recent {
		if now.Sub(old.at) <= massSpan {
			kept = append(kept, old)
		}
	}
	t.recent = append(kept, c)
}

// pardonMass takes the blame off requests that were on one only of many servers that broke at once.
func (t *Tracker) pardonMass() {
	servers, shares := map[string]bool{}, map[uint64]int{}
	for _, c := range t.recent {
		servers[c.server] = true
		for _, fp := range c.marked {
			shares[fp]++
		}
	}
	if len(servers) < massServers {
		return
	}
	for _, c := range t.recent {
		kept := c.marked[:0]
		for _, fp := range c.marked {
			if shares[fp] > 1 {
				kept = append(kept, fp)
				continue
			}
			t.unblame(fp)
		}
		c.marked = kept
	}
}

// alive takes a crash back when an attempt that began before it completes after it: one stream broke, not the server.
func (t *Tracker) alive(now time.Time, r run) {
	c := t.servers[r.server]
	if c == nil || r.epoch >= c.epoch || now.Sub(c.at) < aliveDelay {
		return
	}
	for _, fp := range c.marked {
		t.unblame(fp)
	}
	c.marked = nil
}

func (t *Tracker) unblame(fp uint64) {
	m, ok := t.marks[fp]
	if !ok || m.own == 0 {
		return
	}
	if m.own--; m.own == 0 && t.foreign[fp] == 0 {
		delete(t.marks, fp)
	}
}
