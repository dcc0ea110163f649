package placement

import (
	"slices"
	"time"
)

const (
	// heldCrashes is how many servers in a row a request may crash; then it runs no more.
	heldCrashes = 3
	// lifeTime is how long a server may show that it lives after it broke off a request: then it has not
	// crashed. One that has crashed is back after seconds, as another incarnation.
	lifeTime = 300 * time.Millisecond
	// crashMemory is how long a crash is remembered.
	crashMemory = 2 * time.Minute
	// heldRetry is told to callers whose request runs no more: they may ask again when it is forgotten.
	heldRetry = 30 * time.Second
	// crashTold is how long other hosts are told of a crash: hosts of other zones hear each five seconds in a
	// large fleet, and words may be lost. maxToldCrashes bounds those in one word.
	crashTold      = 12 * time.Second
	maxToldCrashes = 16
	// clockSlack is the error of times that other hosts told: a word is on its way for milliseconds.
	clockSlack = 100 * time.Millisecond
	// maxSuspects bounds the requests whose crashes are remembered.
	maxSuspects = 4096
)

// Crash is a run of a request that ended with its server.
type Crash struct {
	// Fingerprint names the request by its content: a caller that sends it again gives it another id.
	Fingerprint        uint64
	Server             string
	StartedAt, EndedAt time.Time
}

// suspects finds requests that crash the servers that run them, over hosts and over resends. It answers the
// pattern of one request that comes again and takes server after server away from all others. Requests that
// only ran beside it are told apart: they complete elsewhere, and their crashes overlap in time.
type suspects struct {
	crashes map[uint64][]Crash
	// cleared is when a request completed last; crashes before it do not count.
	cleared map[uint64]time.Time
	// doubtful crashes wait for a sign of life of their server.
	doubtful []Crash
	// told are this host's own crashes for other hosts.
	told []Crash
}

func newSuspects() suspects {
	return suspects{crashes: map[uint64][]Crash{}, cleared: map[uint64]time.Time{}}
}

// broken notes that a server broke off a request.
func (s *suspects) broken(now time.Time, e *entry) {
	if e.req.Fingerprint != 0 {
		s.doubtful = append(s.doubtful, Crash{e.req.Fingerprint, e.server.info.ID, e.started, now})
	}
}

// alive notes an answer of a server to a request that started at a time: it has not crashed since.
func (s *suspects) alive(server string, started time.Time) {
	s.doubtful = slices.DeleteFunc(s.doubtful, func(c Crash) bool { return c.Server == server && !started.Before(c.EndedAt) })
}

// completed clears a request.
func (s *suspects) completed(now time.Time, fingerprint uint64) {
	if _, ok := s.crashes[fingerprint]; ok {
		delete(s.crashes, fingerprint)
		s.cleared[fingerprint] = now
	}
	s.doubtful = slices.DeleteFunc(s.doubtful, func(c Crash) bool { return c.Fingerprint == fingerprint })
}

// pass takes crashes whose servers have shown no life, and forgets old ones.
func (s *suspects) pass(now time.Time) {
	s.doubtful = slices.DeleteFunc(s.doubtful, func(c Crash) bool {
		if now.Sub(c.EndedAt) < lifeTime {
			return false
		}
		s.add(now, c)
		s.told = append(s.told, c)
		return true
	})
	s.told = slices.DeleteFunc(s.told, func(c Crash) bool { return now.Sub(c.EndedAt) > crashTold })
	for f, l := range s.crashes {
		if now.Sub(l[len(l)-1].EndedAt) > crashMemory {
			delete(s.crashes, f)
		}
	}
	for f, at := range s.cleared {
		if now.Sub(at) > crashMemory {
			delete(s.cleared, f)
		}
	}
}

// add remembers a crash once; each takes one server.
func (s *suspects) add(now time.Time, c Crash) {
	l := s.crashes[c.Fingerprint]
	known := slices.ContainsFunc(l, func(o Crash) bool { return o.Server == c.Server })
	if known || !c.EndedAt.After(s.cleared[c.Fingerprint]) || now.Sub(c.EndedAt) > crashMemory ||
		l == nil && len(s.crashes) >= maxSuspects {
		return
	}
	l = append(l, c)
	slices.SortFunc(l, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	s.crashes[c.Fingerprint] = l
}

// held reports whether a request has crashed too many servers, one after the other.
func (s *suspects) held(fingerprint uint64) bool {
	n := 0
	var last time.Time
	for _, c := range s.crashes[fingerprint] {
		if n == 0 || !c.StartedAt.Before(last.Add(-clockSlack)) {
			n, last = n+1, c.EndedAt
		}
	}
	return n >= heldCrashes
}

// recent returns this host's newest crashes, for other hosts.
func (s *suspects) recent() []Crash {
	return slices.Clone(s.told[max(0, len(s.told)-maxToldCrashes):])
}
