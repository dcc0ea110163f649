package suspect

import (
	"slices"
	"time"
)

const (
	// crashWindow is how long after a crash further broken attempts on the server are part of the same crash.
	crashWindow = time.Second
	// outageWindow and outageServers distinguish the loss of a zone or a network link from crashes that a request
	// causes. If at least outageServers servers break within outageWindow, requests that ran on only one of them
	// are cleared of that crash.
	outageWindow  = 2 * time.Second
	outageServers = 3
	// survivalDelay is how long after a crash an attempt that started before it must complete to show that the
	// server did not crash.
	survivalDelay = 100 * time.Millisecond
)

// crash is the latest crash of a server. Attempts with a lower epoch started before it.
type crash struct {
	server string
	at     time.Time
	epoch  int
	// counted lists the fingerprints whose count this crash raised.
	counted []uint64
}

// recordBroken counts a crash against the fingerprint of a broken attempt, once for each crash.
func (t *Tracker) recordBroken(now time.Time, a attempt) {
	c := t.servers[a.server]
	if c == nil || a.epoch >= c.epoch || now.Sub(c.at) > crashWindow {
		epoch := 1
		if c != nil {
			epoch = c.epoch + 1
		}
		c = &crash{server: a.server, at: now, epoch: epoch}
		t.servers[a.server] = c
		t.addRecent(now, c)
	}
	if !slices.Contains(c.counted, a.fingerprint) {
		c.counted = append(c.counted, a.fingerprint)
		t.addCrash(now, a.fingerprint)
	}
	t.discountOutage()
}

// addCrash counts one more crash of this host against a fingerprint.
func (t *Tracker) addCrash(now time.Time, fp uint64) {
	m, ok := t.marks[fp]
	if !ok {
		m = t.newMark(fp)
	}
	if now.Sub(m.lastCrash) > markTTL {
		m.ownCrashes, m.discounted = 0, t.peerCrashes[fp]
	}
	m.ownCrashes++
	m.lastCrash = now
}

// addRecent adds c to the recent crashes and drops those older than outageWindow.
func (t *Tracker) addRecent(now time.Time, c *crash) {
	kept := t.recentCrashes[:0]
	for _, old := range t.recentCrashes {
		if now.Sub(old.at) <= outageWindow {
			kept = append(kept, old)
		}
	}
	t.recentCrashes = append(kept, c)
}

// discountOutage clears the fingerprints that ran on only one of many servers that broke at the same time.
func (t *Tracker) discountOutage() {
	servers, crashesOf := map[string]bool{}, map[uint64]int{}
	for _, c := range t.recentCrashes {
		servers[c.server] = true
		for _, fp := range c.counted {
			crashesOf[fp]++
		}
	}
	if len(servers) < outageServers {
		return
	}
	for _, c := range t.recentCrashes {
		kept := c.counted[:0]
		for _, fp := range c.counted {
			if crashesOf[fp] > 1 {
				kept = append(kept, fp)
				continue
			}
			t.removeCrash(fp)
		}
		c.counted = kept
	}
}

// disproveCrash removes a crash if an attempt that started before it completes after it: only one stream broke, and
// the server is alive.
func (t *Tracker) disproveCrash(now time.Time, a attempt) {
	c := t.servers[a.server]
	if c == nil || a.epoch >= c.epoch || now.Sub(c.at) < survivalDelay {
		return
	}
	for _, fp := range c.counted {
		t.removeCrash(fp)
	}
	c.counted = nil
}

// removeCrash removes one crash of this host from the count of a fingerprint.
func (t *Tracker) removeCrash(fp uint64) {
	m, ok := t.marks[fp]
	if !ok || m.ownCrashes == 0 {
		return
	}
	if m.ownCrashes--; m.ownCrashes == 0 && t.peerCrashes[fp] == 0 {
		delete(t.marks, fp)
	}
}
