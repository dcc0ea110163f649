// Package suspect detects requests that crash backend servers. It identifies a
// request by the fingerprint of its content, so that it recognises resends, also
// on other hosts. A crash counts against the fingerprints of all requests that ran
// on the server; a fingerprint with such a count is marked. When a request with
// the fingerprint completes, the mark is lifted. It also detects parts of prompts that
// crash servers whatever else the request holds, see [PartTracker].
package suspect

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type Verdict -output verdict_string.go

// Verdict is how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Free requests may run on any server.
	Free Verdict = iota
	// Isolate requests ran on a server that crashed. They may only run on a server that [Tracker.Allowed] allows and
	// that runs no other marked request, and not before [Tracker.RunAfter].
	Isolate
	// Held requests may not run until an operator lifts the mark or it expires.
	Held
)

const (
	// separationThreshold and holdThreshold are numbers of crashes without a completion in between. With
	// separationThreshold crashes, marked requests run on different servers. With holdThreshold or more, they are held.
	separationThreshold = 2
	holdThreshold       = 3
	// propagationTime is how long marks take to reach all other hosts.
	propagationTime = 2 * time.Second
	// markTTL is how long a mark is kept after its last crash.
	markTTL = 10 * time.Minute
	// maxMarks bounds the number of marks, and the number of fingerprints in the reports of all peers together.
	maxMarks = 4096
	// recheckDelay is how long a marked request is delayed if another request with its fingerprint is running.
	recheckDelay = 100 * time.Millisecond
)

// Suspect is a marked fingerprint, as listed for operators.
type Suspect struct {
	Fingerprint uint64
	// OwnCrashes is the number of crashes seen by this host, TotalCrashes that of all hosts.
	OwnCrashes, TotalCrashes int
	LastCrash                time.Time
	Verdict                  Verdict
}

// Tracker keeps the marks. It must be used by one goroutine only.
type Tracker struct {
	now           time.Time
	attempts      map[request.ID]attempt
	running       map[uint64]int
	servers       map[string]*crash
	recentCrashes []*crash
	marks         map[uint64]*mark
	peers         map[string]peer
	peerCrashes   map[uint64]int
}

// attempt is a running attempt to serve a request on a server.
type attempt struct {
	fingerprint uint64
	server      string
	epoch       int
}

// mark holds the crashes that count against one fingerprint.
type mark struct {
	// ownCrashes is the number of crashes seen by this host, discounted the number of crashes reported by peers
	// for which the mark was lifted on this host.
	ownCrashes, discounted int
	lastCrash              time.Time
}

// peer is the latest report of another host.
type peer struct {
	receivedAt time.Time
	marks      map[uint64]int
}

// New returns a Tracker without marks.
func New() *Tracker {
	return &Tracker{
		attempts: map[request.ID]attempt{}, running: map[uint64]int{}, servers: map[string]*crash{},
		marks: map[uint64]*mark{}, peers: map[string]peer{}, peerCrashes: map[uint64]int{},
	}
}

// Started records that an attempt was sent to server. A fingerprint of 0 means unknown and is never marked.
func (t *Tracker) Started(now time.Time, fingerprint uint64, id request.ID, server string) {
	t.now = now
	if fingerprint == 0 {
		return
	}
	epoch := 0
	if c := t.servers[server]; c != nil {
		epoch = c.epoch
	}
	t.attempts[id] = attempt{fingerprint: fingerprint, server: server, epoch: epoch}
	t.running[fingerprint]++
}

// Finished records the end of an attempt. A broken attempt marks its fingerprint, a completed one lifts the mark.
func (t *Tracker) Finished(now time.Time, id request.ID, res request.Result) {
	t.now = now
	a, ok := t.attempts[id]
	if !ok {
		return
	}
	delete(t.attempts, id)
	if t.running[a.fingerprint]--; t.running[a.fingerprint] <= 0 {
		delete(t.running, a.fingerprint)
	}
	switch res.Outcome {
	case request.Completed:
		t.liftMark(a.fingerprint)
		t.disproveCrash(now, a)
	case request.Broken:
		t.recordBroken(now, a)
	}
}

// Verdict returns how a request with the fingerprint may run.
func (t *Tracker) Verdict(now time.Time, fingerprint uint64) Verdict {
	t.now = now
	switch n := t.crashCount(fingerprint); {
	case n >= holdThreshold:
		return Held
	case n > 0:
		return Isolate
	}
	return Free
}

// Allowed reports whether an isolated request may run on server. Fingerprints with at least separationThreshold
// crashes divide the servers among themselves by rendezvous hashing. Once all hosts know their marks, no two of
// them run on the same server, where one would be marked for a crash that the other caused.
func (t *Tracker) Allowed(fingerprint uint64, server string) bool {
	if t.crashCount(fingerprint) < separationThreshold {
		return true
	}
	ownRank := rank(fingerprint, server)
	for fp := range t.marks {
		if n := t.crashCount(fp); n >= separationThreshold && n < holdThreshold && rank(fp, server) > ownRank {
			return false
		}
	}
	return true
}

// rank returns the rank of a fingerprint for a server, which is the same on all hosts. The highest rank wins.
func rank(fingerprint uint64, server string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(server), fingerprint))
}

// RunAfter returns the earliest time to run an isolated request; the zero time means now. A request with at
// least separationThreshold crashes waits until the other hosts know its mark, and no two requests with the same
// marked fingerprint run on this host at the same time.
func (t *Tracker) RunAfter(now time.Time, fingerprint uint64) time.Time {
	t.now = now
	n := t.crashCount(fingerprint)
	if n >= 1 && t.running[fingerprint] > 0 {
		return now.Add(recheckDelay)
	}
	if n >= separationThreshold {
		return t.propagatedAt(fingerprint)
	}
	return time.Time{}
}

// RefuseAfter returns the earliest time to refuse a marked request, for any reason; the zero time means now.
// The delay ensures that every host knows the mark when the caller resends the request.
func (t *Tracker) RefuseAfter(fingerprint uint64) time.Time {
	if t.crashCount(fingerprint) == 0 {
		return time.Time{}
	}
	return t.propagatedAt(fingerprint)
}

// propagatedAt returns when all hosts know the latest crash of a fingerprint.
func (t *Tracker) propagatedAt(fingerprint uint64) time.Time {
	if m := t.marks[fingerprint]; m != nil {
		return m.lastCrash.Add(propagationTime)
	}
	return time.Time{}
}

// crashCount returns the number of crashes on all hosts that count against a fingerprint.
func (t *Tracker) crashCount(fingerprint uint64) int {
	n := t.peerCrashes[fingerprint]
	m, ok := t.marks[fingerprint]
	if !ok {
		return n
	}
	if t.now.Sub(m.lastCrash) > markTTL {
		return 0
	}
	return m.ownCrashes + max(0, n-m.discounted)
}

// Marks returns the crash counts of this host by fingerprint, to be sent to the other hosts.
func (t *Tracker) Marks() map[uint64]int {
	out := map[uint64]int{}
	for fp, m := range t.marks {
		if m.ownCrashes > 0 && t.now.Sub(m.lastCrash) <= markTTL {
			out[fp] = m.ownCrashes
		}
	}
	return out
}

// Merge takes over the marks of other hosts when their sender is unknown.
func (t *Tracker) Merge(marks map[uint64]int) { t.UpdatePeer(t.now, "", marks) }

// UpdatePeer replaces the marks reported by another host.
func (t *Tracker) UpdatePeer(now time.Time, host string, marks map[uint64]int) {
	if now.After(t.now) {
		t.now = now
	}
	old := t.peers[host].marks
	kept := make(map[uint64]int, len(marks))
	for fp, n := range marks {
		if _, known := t.peerCrashes[fp]; n > 0 && (known || len(t.peerCrashes) < maxMarks) {
			kept[fp] = n
			t.updatePeerCrashes(fp, old[fp], n)
		}
	}
	for fp, n := range old {
		if _, ok := kept[fp]; !ok {
			t.updatePeerCrashes(fp, n, 0)
		}
	}
	t.peers[host] = peer{receivedAt: now, marks: kept}
	t.expirePeers(now)
}

// updatePeerCrashes changes the crash count of a fingerprint as reported by one peer.
func (t *Tracker) updatePeerCrashes(fp uint64, before, after int) {
	if t.peerCrashes[fp] += after - before; t.peerCrashes[fp] <= 0 {
		delete(t.peerCrashes, fp)
	}
	m, ok := t.marks[fp]
	if !ok && after > before {
		m = t.newMark(fp)
		ok = true
	}
	if !ok {
		return
	}
	if after > before {
		m.lastCrash = t.now
	}
	m.discounted = min(m.discounted, t.peerCrashes[fp])
	if m.ownCrashes == 0 && t.peerCrashes[fp] == 0 {
		delete(t.marks, fp)
	}
}

// forgetPeer drops the marks reported by a host.
func (t *Tracker) forgetPeer(host string) {
	for fp, n := range t.peers[host].marks {
		t.updatePeerCrashes(fp, n, 0)
	}
	delete(t.peers, host)
}

func (t *Tracker) expirePeers(now time.Time) {
	for host, p := range t.peers {
		if now.Sub(p.receivedAt) > markTTL {
			t.forgetPeer(host)
		}
	}
}

// liftMark drops all crashes that count against a fingerprint so far, including those reported by peers.
func (t *Tracker) liftMark(fingerprint uint64) {
	m, ok := t.marks[fingerprint]
	if !ok {
		return
	}
	m.ownCrashes, m.discounted = 0, t.peerCrashes[fingerprint]
	if m.discounted == 0 {
		delete(t.marks, fingerprint)
	}
}

// Lift lifts the mark of a fingerprint on this host at an operator's request, including the crashes that peers
// have reported so far.
func (t *Tracker) Lift(fingerprint uint64) { t.liftMark(fingerprint) }

// Suspects lists the marked fingerprints, most crashes first.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	var out []Suspect
	for fp, m := range t.marks {
		if v := t.Verdict(now, fp); v != Free {
			out = append(out, Suspect{Fingerprint: fp, OwnCrashes: m.ownCrashes, TotalCrashes: t.crashCount(fp), LastCrash: m.lastCrash, Verdict: v})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].TotalCrashes != out[j].TotalCrashes {
			return out[i].TotalCrashes > out[j].TotalCrashes
		}
		return out[i].Fingerprint < out[j].Fingerprint
	})
	return out
}

// newMark adds a mark, and evicts others if there are too many.
func (t *Tracker) newMark(fp uint64) *mark {
	if len(t.marks) >= maxMarks {
		t.evict()
	}
	m := &mark{}
	t.marks[fp] = m
	return m
}

// evict drops the expired marks, or the mark with the oldest crash if none has expired.
func (t *Tracker) evict() {
	var oldest uint64
	var oldestCrash time.Time
	found := false
	for fp, m := range t.marks {
		if t.now.Sub(m.lastCrash) > markTTL {
			delete(t.marks, fp)
			continue
		}
		if !found || m.lastCrash.Before(oldestCrash) || (m.lastCrash.Equal(oldestCrash) && fp < oldest) {
			oldest, oldestCrash, found = fp, m.lastCrash, true
		}
	}
	if len(t.marks) >= maxMarks {
		delete(t.marks, oldest)
	}
}
