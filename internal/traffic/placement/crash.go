package placement

import (
	"slices"
	"time"

	"shallotramp/internal/traffic/suspect"
)

const (
	// maxCrashes is the number of servers crashed one after another from which a request is refused.
	maxCrashes = 3
	// crashRetention is how long a crash is remembered.
	crashRetention = 2 * time.Minute
	// crashSuspectRetryAfter is the delay sent to callers of refused requests, which can run again when
	// their crashes are forgotten.
	crashSuspectRetryAfter = 30 * time.Second
	// crashShareTime is how long a crash is part of the state sent to other hosts. Hosts of other zones in a
	// large fleet receive it every 5 s only, and messages may be lost. maxSharedCrashes bounds the crashes
	// in one message.
	crashShareTime   = 12 * time.Second
	maxSharedCrashes = 16
	// answerMargin is how long an answer must go on after its first token to show that its prompt does not crash the
	// server. A crashing server may still send a token.
	answerMargin = 100 * time.Millisecond
	// clockTolerance is the error of times received from other hosts: a message takes milliseconds to arrive.
	clockTolerance = 100 * time.Millisecond
	// maxSuspects bounds the fingerprints whose crashes are remembered.
	maxSuspects = 4096
)

// Crash is an attempt that ended with a crash of its server.
type Crash struct {
	// Fingerprint identifies the request by its content, because a resent request has another ID.
	Fingerprint        uint64
	Server             string
	StartedAt, EndedAt time.Time
	// SharedParts are the IDs of the prompt's parts that other requests may share. Other hosts do not report them.
	SharedParts []uint64
	// Answered says that the answer had begun.
	Answered bool
}

// crashTracker finds requests that crash the servers that run them, across hosts and resends. Without it, one
// request that is sent again and again takes down server after server. Requests that only ran on a server
// when it crashed are not blocked: they complete on another server, and their crashes overlap in time.
type crashTracker struct {
	crashes map[uint64][]Crash
	// completedAt is when a request with crashes completed last; crashes before it do not count.
	completedAt map[uint64]time.Time
	// unconfirmed crashes are dropped if their server answers within suspect.ConfirmTime.
	unconfirmed []Crash
	// localCrashes are the confirmed crashes of this host's requests, to be sent to other hosts.
	localCrashes []Crash
}

func newCrashTracker() crashTracker {
	return crashTracker{crashes: map[uint64][]Crash{}, completedAt: map[uint64]time.Time{}}
}

// recordBroken records that the connection broke while a server ran e, as a possible crash.
func (t *crashTracker) recordBroken(now time.Time, e *entry) {
	if e.req.Fingerprint != 0 {
		t.unconfirmed = append(t.unconfirmed, Crash{
			Fingerprint: e.req.Fingerprint, Server: e.server.info.ID, StartedAt: e.started, EndedAt: now,
			SharedParts: e.sharedParts, Answered: e.gotFirstToken && now.Sub(e.firstTokenAt) >= answerMargin,
		})
	}
}

// recordAnswer drops possible crashes of a server that answered a request which started after them.
func (t *crashTracker) recordAnswer(server string, started time.Time) {
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(c Crash) bool { return c.Server == server && !started.Before(c.EndedAt) })
}

// recordCompleted forgets the crashes of a request that completed.
func (t *crashTracker) recordCompleted(now time.Time, fingerprint uint64) {
	if _, ok := t.crashes[fingerprint]; ok {
		delete(t.crashes, fingerprint)
		t.completedAt[fingerprint] = now
	}
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(c Crash) bool { return c.Fingerprint == fingerprint })
}

// update confirms crashes whose servers have not answered in time and returns them, and forgets old crashes.
func (t *crashTracker) update(now time.Time) (confirmed []Crash) {
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(c Crash) bool {
		if now.Sub(c.EndedAt) < suspect.ConfirmTime {
			return false
		}
		t.add(now, c)
		confirmed = append(confirmed, c)
		return true
	})
	t.localCrashes = append(t.localCrashes, confirmed...)
	t.localCrashes = slices.DeleteFunc(t.localCrashes, func(c Crash) bool { return now.Sub(c.EndedAt) > crashShareTime })
	for f, l := range t.crashes {
		if now.Sub(l[len(l)-1].EndedAt) > crashRetention {
			delete(t.crashes, f)
		}
	}
	for f, at := range t.completedAt {
		if now.Sub(at) > crashRetention {
			delete(t.completedAt, f)
		}
	}
	return confirmed
}

// add records a crash; each server counts once for a request.
func (t *crashTracker) add(now time.Time, c Crash) {
	l := t.crashes[c.Fingerprint]
	known := slices.ContainsFunc(l, func(o Crash) bool { return o.Server == c.Server })
	if known || !c.EndedAt.After(t.completedAt[c.Fingerprint]) || now.Sub(c.EndedAt) > crashRetention ||
		l == nil && len(t.crashes) >= maxSuspects {
		return
	}
	l = append(l, c)
	slices.SortFunc(l, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	t.crashes[c.Fingerprint] = l
}

// blocked reports whether a request has crashed too many servers one after another. Crashes that overlap in
// time count once.
func (t *crashTracker) blocked(fingerprint uint64) bool {
	n := 0
	var last time.Time
	for _, c := range t.crashes[fingerprint] {
		if n == 0 || !c.StartedAt.Before(last.Add(-clockTolerance)) {
			n, last = n+1, c.EndedAt
		}
	}
	return n >= maxCrashes
}

// recentLocal returns the newest of this host's crashes, to be sent to other hosts.
func (t *crashTracker) recentLocal() []Crash {
	return slices.Clone(t.localCrashes[max(0, len(t.localCrashes)-maxSharedCrashes):])
}
