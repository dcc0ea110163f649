// Package suspect finds requests that crash backend servers, over hosts and over
// resends, by the fingerprint of their content. The blame for a crash is spread
// over all requests that ran on the server; completing elsewhere clears a request.
package suspect

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotramp/internal/traffic/request"
)

//go:generate go tool stringer -type Verdict -output verdict_string.go

// Verdict tells how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Free requests run anywhere.
	Free Verdict = iota
	// Isolate requests ran on a server that crashed. They run on a server without another
	// suspect that [Tracker.Allowed] allows, not before [Tracker.RunAfter].
	Isolate
	// Held requests do not run until an operator lifts the mark or it expires.
	Held
)

const (
	// apartCrashes and heldCrashes count crashes without a completion between.
	apartCrashes = 2
	heldCrashes  = 3
	// settleTime is how long marks take to reach the other hosts.
	settleTime = 2 * time.Second
	// markLife is how long a mark is kept after its last crash.
	markLife = 10 * time.Minute
	// maxMarks bounds the fingerprints kept of this host's crashes, and of the peers' together.
	maxMarks = 4096
	// recheckTime is the delay of a marked request that runs already.
	recheckTime = 100 * time.Millisecond
)

// Suspect is a marked fingerprint as operators see it.
type Suspect struct {
	Fingerprint uint64
	// OwnCrashes counts crashes seen by this host, Total those of all hosts.
	OwnCrashes, TotalCrashes int
	LastCrash                time.Time
	Verdict                  Verdict
}

// Tracker keeps the marks. It is used by one goroutine.
type Tracker struct {
	now     time.Time
	runs    map[request.ID]run
	active  map[uint64]int
	servers map[string]*crash
	recent  []*crash
	marks   map[uint64]*mark
	peers   map[string]peer
	foreign map[uint64]int
}

// run is an attempt under way.
type run struct {
	fingerprint uint64
	server      string
	epoch       int
}

// mark is what is held against one fingerprint.
type mark struct {
	// own counts this host's crashes, pardoned those of the peers that were cleared or lifted here.
	own, pardoned int
	last          time.Time
}

// peer is what another host last told.
type peer struct {
	at    time.Time
	marks map[uint64]int
}

// New returns a Tracker without marks.
func New() *Tracker {
	return &Tracker{
		runs: map[request.ID]run{}, active: map[uint64]int{}, servers: map[string]*crash{},
		marks: map[uint64]*mark{}, peers: map[string]peer{}, foreign: map[uint64]int{},
	}
}

// Started notes that an attempt was sent to server. A fingerprint of 0 is unknown and never marked.
func (t *Tracker) Started(now time.Time, fingerprint uint64, id request.ID, server string) {
	t.now = now
	if fingerprint == 0 {
		return
	}
	epoch := 0
	if c := t.servers[server]; c != nil {
		epoch = c.epoch
	}
	t.runs[id] = run{fingerprint: fingerprint, server: server, epoch: epoch}
	t.active[fingerprint]++
}

// Finished notes the end of an attempt. A broken one marks its fingerprint, a completed one clears it.
func (t *Tracker) Finished(now time.Time, id request.ID, res request.Result) {
	t.now = now
	r, ok := t.runs[id]
	if !ok {
		return
	}
	delete(t.runs, id)
	if t.active[r.fingerprint]--; t.active[r.fingerprint] <= 0 {
		delete(t.active, r.fingerprint)
	}
	switch res.Outcome {
	case request.Completed:
		t.clear(r.fingerprint)
		t.alive(now, r)
	case request.Broken:
		t.broken(now, r)
	}
}

// Verdict returns how a request with the fingerprint may run.
func (t *Tracker) Verdict(now time.Time, fingerprint uint64) Verdict {
	t.now = now
	switch n := t.count(fingerprint); {
	case n >= heldCrashes:
		return Held
	case n > 0:
		return Isolate
	}
	return Free
}

// Allowed reports whether an isolated request may run on server. Once all hosts know of them, requests
// that crashed two servers share the servers out, so that no two of them meet and one is blamed for the other.
func (t *Tracker) Allowed(fingerprint uint64, server string) bool {
	if t.count(fingerprint) < apartCrashes {
		return true
	}
	own := claim(fingerprint, server)
	for fp := range t.marks {
		if n := t.count(fp); n >= apartCrashes && n < heldCrashes && claim(fp, server) > own {
			return false
		}
	}
	return true
}

// claim ranks a fingerprint for a server alike on all hosts.
func claim(fingerprint uint64, server string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(server), fingerprint))
}

// RunAfter returns the earliest time to run an isolated request; the zero time is at once. A request
// that crashed two servers waits until other hosts know, and none runs twice at the same time.
func (t *Tracker) RunAfter(now time.Time, fingerprint uint64) time.Time {
	t.now = now
	n := t.count(fingerprint)
	if n >= 1 && t.active[fingerprint] > 0 {
		return now.Add(recheckTime)
	}
	if n >= apartCrashes {
		return t.settled(fingerprint)
	}
	return time.Time{}
}

// RefuseAfter returns the earliest time to refuse a marked request, for whatever reason; the zero time
// is at once. A caller that resends then finds the mark on every host.
func (t *Tracker) RefuseAfter(fingerprint uint64) time.Time {
	if t.count(fingerprint) == 0 {
		return time.Time{}
	}
	return t.settled(fingerprint)
}

func (t *Tracker) settled(fingerprint uint64) time.Time {
	if m := t.marks[fingerprint]; m != nil {
		return m.last.Add(settleTime)
	}
	return time.Time{}
}

// count returns the crashes held against a fingerprint over all hosts.
func (t *Tracker) count(fingerprint uint64) int {
	n := t.foreign[fingerprint]
	m, ok := t.marks[fingerprint]
	if !ok {
		return n
	}
	if t.now.Sub(m.last) > markLife {
		return 0
	}
	return m.own + max(0, n-m.pardoned)
}

// Marks returns the crashes that this host itself counts, to be told to the others.
func (t *Tracker) Marks() map[uint64]int {
	out := map[uint64]int{}
	for fp, m := range t.marks {
		if m.own > 0 && t.now.Sub(m.last) <= markLife {
			out[fp] = m.own
		}
	}
	return out
}

// Merge takes the marks of the other hosts when it is not known which host told them.
func (t *Tracker) Merge(marks map[uint64]int) { t.MergeFrom(t.now, "", marks) }

// MergeFrom takes all marks of one other host, in place of those that it told before.
func (t *Tracker) MergeFrom(now time.Time, host string, marks map[uint64]int) {
	if now.After(t.now) {
		t.now = now
	}
	old := t.peers[host].marks
	kept := make(map[uint64]int, len(marks))
	for fp, n := range marks {
		if _, known := t.foreign[fp]; n > 0 && (known || len(t.foreign) < maxMarks) {
			kept[fp] = n
			t.told(fp, old[fp], n)
		}
	}
	for fp, n := range old {
		if _, ok := kept[fp]; !ok {
			t.told(fp, n, 0)
		}
	}
	t.peers[host] = peer{at: now, marks: kept}
	t.expirePeers(now)
}

// told changes one host's count of a fingerprint.
func (t *Tracker) told(fp uint64, before, after int) {
	if t.foreign[fp] += after - before; t.foreign[fp] <= 0 {
		delete(t.foreign, fp)
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
		m.last = t.now
	}
	m.pardoned = min(m.pardoned, t.foreign[fp])
	if m.own == 0 && t.foreign[fp] == 0 {
		delete(t.marks, fp)
	}
}

// withdraw forgets what a host told before.
func (t *Tracker) withdraw(host string) {
	for fp, n := range t.peers[host].marks {
		t.told(fp, n, 0)
	}
	delete(t.peers, host)
}

func (t *Tracker) expirePeers(now time.Time) {
	for host, p := range t.peers {
		if now.Sub(p.at) > markLife {
			t.withdraw(host)
		}
	}
}

// clear drops what is held against a fingerprint that completed.
func (t *Tracker) clear(fingerprint uint64) {
	m, ok := t.marks[fingerprint]
	if !ok {
		return
	}
	m.own, m.pardoned = 0, t.foreign[fingerprint]
	if m.pardoned == 0 {
		delete(t.marks, fingerprint)
	}
}

// Lift drops the mark of a fingerprint on this host at an operator's word, with what its peers told so far.
func (t *Tracker) Lift(fingerprint uint64) { t.clear(fingerprint) }

// Suspects lists the marked fingerprints, most crashes first.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	var out []Suspect
	for fp, m := range t.marks {
		if v := t.Verdict(now, fp); v != Free {
			out = append(out, Suspect{Fingerprint: fp, OwnCrashes: m.own, TotalCrashes: t.count(fp), LastCrash: m.last, Verdict: v})
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

// newMark makes room for one more mark.
func (t *Tracker) newMark(fp uint64) *mark {
	if len(t.marks) >= maxMarks {
		t.evict()
	}
	m := &mark{}
	t.marks[fp] = m
	return m
}

// evict drops expired marks, or the one with the oldest crash when none is.
func (t *Tracker) evict() {
	var oldest uint64
	var at time.Time
	found := false
	for fp, m := range t.marks {
		if t.now.Sub(m.last) > markLife {
			delete(t.marks, fp)
			continue
		}
		if !found || m.last.Before(at) || (m.last.Equal(at) && fp < oldest) {
			oldest, at, found = fp, m.last, true
		}
	}
	if len(t.marks) >= maxMarks {
		delete(t.marks, oldest)
	}
}
