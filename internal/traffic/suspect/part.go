package suspect

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// ConfirmTime is how long an answer of a server is awaited after a connection to it broke. If one comes, the server has
// not crashed: a crashed server is back only after seconds, as another incarnation.
const ConfirmTime = 300 * time.Millisecond

// HeldPartWhy explains a refusal because of a held part.
const HeldPartWhy = "requests with a part of this prompt crashed their servers, one after another"

const (
	// newPartCrashes and knownPartCrashes are the numbers of crashes without an answer in between from which a part is
	// held. Servers have answered requests with a known part before, so that other causes are likelier.
	newPartCrashes   = 3
	knownPartCrashes = 5
	// simultaneousCrashes is the time within which crashes count as one. Servers that end together, as those of a zone,
	// do not end because of a part.
	simultaneousCrashes = 50 * time.Millisecond
	// sameCrash is the largest difference between the times at which hosts notice the crash of one server.
	sameCrash = time.Second
	// minAnswerAdvance is how much later than the known answer that of another host must be to replace it.
	minAnswerAdvance = 500 * time.Millisecond
	// ambiguousTrials and restedTrials are the shares of the requests with a held part that run as trials, on all hosts
	// together.
	ambiguousTrials = 1
	restedTrials    = 0.25
	// minTrialDelay is the least time after the last crash from which a part is tried again: a sound part can be held if
	// servers have crashed one after another for another reason. The delay is at least the time that the crashes have
	// lasted, so that trials of a part that does crash servers become rare.
	minTrialDelay = 30 * time.Second
	// trialTime is how long a host waits for the result of a trial before it starts another: servers need some time to
	// begin an answer, and a crash some to be confirmed.
	trialTime = 2 * time.Second
	// partShareTime is how long a crash that holds no part is sent to other hosts. Crashes that hold a part are sent
	// while it is held, for hosts that start.
	partShareTime = 12 * time.Second
	// maxPartCrashes bounds the crashes remembered, maxSharedCrashes and maxSharedAnswers what is sent to other hosts at
	// a time, maxSharedSingle this if no part is suspected of two crashes, and maxAnsweredParts the parts whose answers are
	// remembered.
	maxPartCrashes   = 512
	maxSharedCrashes = 32
	maxSharedSingle  = 8
	maxSharedAnswers = 48
	maxAnsweredParts = 8192
)

// PartCrash is the crash of a server while it ran a request whose answer had not begun.
type PartCrash struct {
	Server string
	At     time.Time
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []uint64
}

// PartAnswer says when a server last began to answer a request with a part.
type PartAnswer struct {
	Part uint64
	At   time.Time
}

// PartTracker finds parts of prompts that crash each server that begins to answer a request with them. Requests with
// such a part are not alike, so their fingerprints differ. The parts beside it occur in sound requests too: a part is
// cleared of the crashes before an answer to a request with it. The tracker must be used by one goroutine only.
type PartTracker struct {
	crashes []PartCrash
	// answeredAt is when an answer to a request with a part last began on any host.
	answeredAt *simplelru.LRU[uint64, time.Time]
	// findings is nil if it has to be found again.
	findings *partFindings
	// triedAt is when this host last tried a request with a held part.
	triedAt map[uint64]time.Time
}

// partFindings is what the crashes and answers so far show.
type partFindings struct {
	// suspected counts the crashes that a part may have caused. Crashes at the same time count once.
	suspected map[uint64]int
	held      map[uint64]heldPart
}

// heldPart is a part because of which requests must not run.
type heldPart struct {
	// first and last are the times of the crashes that it explains.
	first, last time.Time
	// ambiguous is set if another held part explains the same crashes.
	ambiguous bool
}

// NewPartTracker returns a PartTracker that suspects no part.
func NewPartTracker() *PartTracker {
	l, err := simplelru.NewLRU[uint64, time.Time](maxAnsweredParts, nil)
	if err != nil {
		panic(err) // The size is positive.
	}
	return &PartTracker{answeredAt: l, triedAt: map[uint64]time.Time{}}
}

// AddCrash records a crash that this host has confirmed or another host has reported.
func (t *PartTracker) AddCrash(now time.Time, c PartCrash) {
	if len(c.Parts) == 0 || now.Sub(c.At) > markTTL || slices.ContainsFunc(t.crashes, func(o PartCrash) bool {
		return o.Server == c.Server && c.At.Sub(o.At).Abs() < sameCrash && slices.Equal(o.Parts, c.Parts)
	}) {
		return
	}
	i, _ := slices.BinarySearchFunc(t.crashes, c, func(a, b PartCrash) int { return a.At.Compare(b.At) })
	t.crashes = slices.Insert(t.crashes, i, c)
	if len(t.crashes) > maxPartCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.findings = nil
}

// AddAnswers records that answers of servers to requests of this host with these parts began.
func (t *PartTracker) AddAnswers(at time.Time, parts []uint64) {
	for _, p := range parts {
		t.addAnswer(at, p)
	}
}

func (t *PartTracker) addAnswer(at time.Time, part uint64) {
	if known, _ := t.answeredAt.Get(part); !at.After(known) {
		return
	}
	t.answeredAt.Add(part, at)
	if t.findings != nil && t.findings.suspected[part] > 0 {
		t.findings = nil
	}
}

// Merge takes over what another host shares.
func (t *PartTracker) Merge(now time.Time, crashes []PartCrash, answers []PartAnswer) {
	for _, a := range answers {
		// Each host that sends an answer on makes it appear later by the time of the transfer.
		if known, _ := t.answeredAt.Peek(a.Part); a.At.Sub(known) > minAnswerAdvance {
			t.addAnswer(a.At, a.Part)
		}
	}
	for _, c := range crashes {
		t.AddCrash(now, c)
	}
}

// Expire forgets old crashes.
func (t *PartTracker) Expire(now time.Time) {
	n := 0
	for n < len(t.crashes) && now.Sub(t.crashes[n].At) > markTTL {
		n++
	}
	if n > 0 {
		t.crashes, t.findings = slices.Delete(t.crashes, 0, n), nil
	}
	maps.DeleteFunc(t.triedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= trialTime })
}

// Held returns the part because of which a request must not run, and whether there is one. A share of the requests may
// run as trials, on all hosts together, if it is their only such part and another held part explains the same crashes, or
// it has caused none for a while.
func (t *PartTracker) Held(now time.Time, parts []uint64) (part uint64, trials float64, held bool) {
	if len(t.crashes) == 0 {
		return 0, 0, false
	}
	all := t.find().held
	n := 0
	for _, p := range parts {
		if _, ok := all[p]; ok {
			part, n = p, n+1
		}
	}
	h := all[part]
	switch rested := now.Sub(h.last) >= max(minTrialDelay, h.last.Sub(h.first)); {
	case n != 1:
	case h.ambiguous:
		trials = ambiguousTrials
	case rested:
		trials = restedTrials
	}
	return part, trials, n > 0
}

// Try reports whether a request with held parts may run as a trial. It draws at random, so that all hosts together try
// the share of the requests that [PartTracker.Held] returned.
func (t *PartTracker) Try(now time.Time, part uint64, trials float64, hosts int, rng *rand.Rand) bool {
	if now.Sub(t.triedAt[part]) < trialTime || rng.Float64()*float64(max(hosts, 1)) >= trials {
		return false
	}
	t.triedAt[part] = now
	return true
}

// HeldParts lists the held parts.
func (t *PartTracker) HeldParts() []uint64 {
	if len(t.crashes) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(t.find().held))
}

func (t *PartTracker) isKnown(part uint64) bool {
	_, ok := t.answeredAt.Peek(part)
	return ok
}

// crashesToHold returns the number of crashes from which a part is held.
func (t *PartTracker) crashesToHold(part uint64) int {
	if t.isKnown(part) {
		return knownPartCrashes
	}
	return newPartCrashes
}

// partEvent is the crash of one server, with the parts of all requests that waited for an answer there.
type partEvent struct {
	at    time.Time
	parts map[uint64]bool
}

// events joins the crashes that requests of several hosts report of the same server.
func (t *PartTracker) events() []*partEvent {
	var out []*partEvent
	last := map[string]*partEvent{}
	for _, c := range t.crashes {
		e := last[c.Server]
		if e == nil || c.At.Sub(e.at) >= sameCrash {
			e = &partEvent{at: c.At, parts: map[uint64]bool{}}
			last[c.Server], out = e, append(out, e)
		}
		for _, p := range t.blamed(c) {
			e.parts[p] = true
		}
	}
	return out
}

// find finds the parts that explain the crashes, those that explain most first. A crash that one part explains says
// nothing about the others: their requests only ran on the same server.
func (t *PartTracker) find() *partFindings {
	if t.findings != nil {
		return t.findings
	}
	events := t.events()
	t.findings = &partFindings{suspected: countParts(events), held: map[uint64]heldPart{}}
	for {
		equals := t.explainMost(events)
		if len(equals) == 0 {
			return t.findings
		}
		h := heldPart{ambiguous: len(equals) > 1}
		events = slices.DeleteFunc(events, func(e *partEvent) bool {
			if !e.parts[equals[0]] {
				return false
			}
			if h.first.IsZero() {
				h.first = e.at
			}
			h.last = e.at
			return true
		})
		for _, p := range equals {
			t.findings.held[p] = h
		}
	}
}

// countParts counts the events by part. Events at the same time count once.
func countParts(events []*partEvent) map[uint64]int {
	counts, countedAt := map[uint64]int{}, map[uint64]time.Time{}
	for _, e := range events {
		for p := range e.parts {
			if at, ok := countedAt[p]; !ok || e.at.Sub(at) >= simultaneousCrashes {
				counts[p]++
				countedAt[p] = e.at
			}
		}
	}
	return counts
}

// explainMost returns the part that explains the most crashes if these are enough to hold it, and the parts that explain
// the same crashes.
func (t *PartTracker) explainMost(events []*partEvent) []uint64 {
	most, parts := 0, []uint64(nil)
	for p, n := range countParts(events) {
		switch {
		case n < t.crashesToHold(p) || n < most:
		case n > most:
			most, parts = n, []uint64{p}
		default:
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return slices.DeleteFunc(parts, func(p uint64) bool {
		return p != parts[0] && slices.ContainsFunc(events, func(e *partEvent) bool { return e.parts[p] != e.parts[parts[0]] })
	})
}

// blamed returns the parts that may have caused a crash: those without a later answer. Of these, parts that no server
// has ever answered explain the crash before the others do.
func (t *PartTracker) blamed(c PartCrash) []uint64 {
	var unanswered, answeredBefore []uint64
	for _, p := range c.Parts {
		switch at, known := t.answeredAt.Peek(p); {
		case !known:
			unanswered = append(unanswered, p)
		case !at.After(c.At):
			answeredBefore = append(answeredBefore, p)
		}
	}
	if len(unanswered) > 0 {
		return unanswered
	}
	return answeredBefore
}

// Shared returns the crashes to be sent to other hosts, and the answers that clear parts of them. Reports of other hosts
// are sent on, so that they reach a large fleet in a few rounds.
func (t *PartTracker) Shared(now time.Time) ([]PartCrash, []PartAnswer) {
	if len(t.crashes) == 0 {
		return nil, nil
	}
	crashes := t.sharedCrashes(now)
	var answers []PartAnswer
	for _, c := range crashes {
		for _, p := range c.Parts {
			at, known := t.answeredAt.Peek(p)
			if known && !slices.ContainsFunc(answers, func(a PartAnswer) bool { return a.Part == p }) {
				answers = append(answers, PartAnswer{p, at})
			}
		}
	}
	return crashes, answers[:min(maxSharedAnswers, len(answers))]
}

// sharedCrashes returns crashes that count against parts, as many of each part as can hold it, the newest first. Those
// that hold a part come before the others, and parts that may have caused more crashes before those that have caused
// fewer.
func (t *PartTracker) sharedCrashes(now time.Time) []PartCrash {
	type candidate struct {
		crash PartCrash
		holds bool
		count int
	}
	type sent struct {
		n      int
		oldest time.Time
	}
	var list []candidate
	sentOf, found := map[uint64]sent{}, t.find()
	for _, c := range slices.Backward(t.crashes) {
		x, counts := candidate{crash: c}, false
		for _, p := range t.blamed(c) {
			if s := sentOf[p]; s.n < knownPartCrashes && (s.n == 0 || s.oldest.Sub(c.At) >= simultaneousCrashes) {
				sentOf[p], counts = sent{s.n + 1, c.At}, true
				_, held := found.held[p]
				x.holds, x.count = x.holds || held, max(x.count, found.suspected[p])
			}
		}
		if counts && (x.holds || now.Sub(c.At) <= partShareTime) {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.holds && !b.holds:
			return -1
		case b.holds && !a.holds:
			return 1
		}
		return cmp.Compare(b.count, a.count)
	})
	var out []PartCrash
	for _, x := range list {
		if len(out) == maxSharedCrashes || x.count < 2 && len(out) >= maxSharedSingle {
			break
		}
		out = append(out, x.crash)
	}
	return out
}
