// Package feed serves a host's copies of objects from the platform's store to other hosts of its availability zone, the
// followers, so that the number of calls to the store does not grow with the number of hosts. A host serves only
// objects that it reads from the store itself, and only while its copy is fresh. Otherwise followers read from the store.
package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/provider/store"
)

const (
	// PathPrefix is the URL path under which copies are served, followed by the kind.
	PathPrefix = "/feed/"
	// maxLoggedChanges is the number of changes kept for each kind. A follower that is further behind lists all
	// objects again.
	maxLoggedChanges = 1024
	// maxFollowerWait is the longest time that a request waits for changes.
	maxFollowerWait = 10 * time.Second
	// minCompressedPageBytes is the size from which a page is compressed. Smaller pages take only a few packets.
	minCompressedPageBytes = 4 << 10
	// freshnessMargin is the time beyond a watch's wait for which the store may be silent before a copy counts as stale
	// and followers are sent to the store.
	freshnessMargin = time.Second
)

// Feed holds copies of objects by kind and serves them over HTTP. Its methods are safe for concurrent use.
type Feed struct {
	// watchWait is the longest time that a watch of the store waits for changes.
	watchWait time.Duration

	mu    sync.Mutex
	kinds map[string]*kindCopy

	// gzipMu guards gzipWriter and gzipBuffer.
	gzipMu     sync.Mutex
	gzipWriter *gzip.Writer
	gzipBuffer bytes.Buffer
}

// kindCopy is the copy of the objects of one kind.
type kindCopy struct {
	watchWait time.Duration // As of the Feed.
	objects   map[string]store.Object
	version   int64
	// logStart is the version before the oldest change in log.
	logStart int64
	log      []loggedChange
	// confirmedAt is the time of the last update from the store itself; zero if a later call failed or a later update
	// came from another host.
	confirmedAt time.Time
	// changed is closed and replaced when version changes and when the copy is no longer current.
	changed chan struct{}
}

type loggedChange struct {
	version int64
	event   store.Event
}

// Page is the body of a response: all objects, or the changes after the requested version.
type Page struct {
	Objects []store.Object `json:",omitempty"`
	Events  []store.Event  `json:",omitempty"`
	Version string
}

// New returns an empty Feed. The parameter wait is the longest time that a watch of the store waits for changes.
func New(wait time.Duration) *Feed {
	gzipWriter, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // BestSpeed is a valid level.
	}
	return &Feed{watchWait: wait, kinds: map[string]*kindCopy{}, gzipWriter: gzipWriter}
}

// SetWait sets the longest time that a watch of the store waits for changes of one kind.
func (f *Feed) SetWait(kind string, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copyOf(kind).watchWait = wait
}

func (f *Feed) copyOf(kind string) *kindCopy {
	k := f.kinds[kind]
	if k == nil {
		k = &kindCopy{watchWait: f.watchWait, objects: map[string]store.Object{}, changed: make(chan struct{})}
		f.kinds[kind] = k
	}
	return k
}

// Apply updates the copy of a kind. The parameter direct reports whether the update came from the store itself.
func (f *Feed) Apply(kind string, u reflector.Update, direct bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.copyOf(kind)
	if u.Err != nil {
		k.confirmedAt = time.Time{}
		k.wake()
		return
	}
	version, err := strconv.ParseInt(u.Version, 10, 64)
	if err != nil {
		return // The version is not one of this store. The copy turns stale, and followers read from the store.
	}
	if direct {
		k.confirmedAt = now
	} else {
		k.confirmedAt = time.Time{}
		k.wake()
	}
	oldVersion := k.version
	if u.Full {
		k.replace(u.Objects, version)
	}
	for _, e := range u.Events {
		k.apply(e, version)
	}
	k.version = max(k.version, version)
	if len(k.log) > maxLoggedChanges {
		k.logStart = k.log[len(k.log)-maxLoggedChanges-1].version
		k.log = append([]loggedChange(nil), k.log[len(k.log)-maxLoggedChanges:]...)
	}
	if k.version != oldVersion {
		k.wake()
	}
}

// wake makes the requests that wait look again.
func (k *kindCopy) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// replace logs the differences between the copy and a complete list as changes.
func (k *kindCopy) replace(objects []store.Object, version int64) {
	if k.version == 0 {
		k.logStart = version
		for _, o := range objects {
			k.objects[o.Name] = o
		}
		return
	}
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Name] = true
		if k.objects[o.Name].Version != o.Version {
			k.apply(store.Event{Type: store.Modified, Object: o}, version)
		}
	}
	for name, o := range k.objects {
		if !present[name] {
			k.apply(store.Event{Type: store.Deleted, Object: o}, version)
		}
	}
}

func (k *kindCopy) apply(e store.Event, version int64) {
	if e.Type == store.Deleted {
		delete(k.objects, e.Object.Name)
	} else {
		k.objects[e.Object.Name] = e.Object
	}
	k.log = append(k.log, loggedChange{version, e})
}

// ServeHTTP implements [http.Handler].
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Path[len(PathPrefix):]
	q := r.URL.Query()
	if !q.Has("After") {
		page, status := f.list(kind)
		f.writePage(w, page, status)
		return
	}
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, waitErr := time.ParseDuration(q.Get("Wait"))
	if err != nil || waitErr != nil {
		http.Error(w, "the query needs a version as After and a duration as Wait; correct it", http.StatusBadRequest)
		return
	}
	end := time.Now().Add(min(wait, maxFollowerWait))
	for {
		page, status, next := f.changes(kind, after)
		left := time.Until(end)
		if status != http.StatusOK || len(page.Events) > 0 || left <= 0 {
			f.writePage(w, page, status)
			return
		}
		t := time.NewTimer(min(left, next.freshFor))
		select {
		case <-next.changed:
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// list returns all objects of a kind and the HTTP status. It returns no objects if the copy is empty or stale.
func (f *Feed) list(kind string) (Page, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.copyOf(kind)
	switch {
	case k.version == 0:
		return Page{}, http.StatusTooEarly
	case k.freshFor() <= 0:
		return Page{}, http.StatusServiceUnavailable
	}
	p := Page{Version: strconv.FormatInt(k.version, 10)}
	for _, o := range k.objects {
		p.Objects = append(p.Objects, o)
	}
	return p, http.StatusOK
}

// freshFor returns how much longer a copy counts as current if the store stays silent.
func (k *kindCopy) freshFor() time.Duration {
	return k.watchWait + freshnessMargin - time.Since(k.confirmedAt)
}

// Fresh reports whether the copy of a kind is read from the store itself and current.
func (f *Feed) Fresh(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.copyOf(kind)
	return k.version > 0 && k.freshFor() > 0
}

// nextChange says when changes may have another result.
type nextChange struct {
	// changed is closed when the copy changes or the store is lost.
	changed <-chan struct{}
	// freshFor is how much longer the copy counts as current if the store stays silent.
	freshFor time.Duration
}

// changes returns the changes to a kind after a version, the HTTP status, and when to look again.
func (f *Feed) changes(kind string, after int64) (Page, int, nextChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.copyOf(kind)
	fresh := k.freshFor()
	switch {
	case fresh <= 0:
		return Page{}, http.StatusServiceUnavailable, nextChange{}
	case after < k.logStart:
		return Page{}, http.StatusGone, nextChange{}
	}
	// A follower that has read from the store itself may have a newer version than this host. It waits for changes
	// after its own version.
	p := Page{Version: strconv.FormatInt(max(k.version, after), 10)}
	for _, c := range k.log {
		if c.version > after {
			p.Events = append(p.Events, c.event)
		}
	}
	return p, http.StatusOK, nextChange{k.changed, fresh}
}

func (f *Feed) writePage(w http.ResponseWriter, p Page, status int) {
	if status != http.StatusOK {
		http.Error(w, "this host has no current copy of the objects; read them from the store", status)
		return
	}
	raw, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(raw) >= minCompressedPageBytes {
		if raw, err = f.compress(raw); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
	}
	_, _ = w.Write(raw) // If the write fails, the follower sends the request again.
}

// compress compresses a page with gzip, as objects of a kind are similar and links between hosts have little bandwidth.
// It compresses one page at a time, because a compressor takes nearly a megabyte of memory.
func (f *Feed) compress(raw []byte) ([]byte, error) {
	f.gzipMu.Lock()
	defer f.gzipMu.Unlock()
	f.gzipBuffer.Reset()
	f.gzipWriter.Reset(&f.gzipBuffer)
	if _, err := f.gzipWriter.Write(raw); err != nil {
		return nil, err
	}
	if err := f.gzipWriter.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(f.gzipBuffer.Bytes()), nil
}
