// Package feed passes the objects that a host follows in the platform's store on
// to other hosts of its availability zone, so that the calls to the store do not
// grow with the fleet. A host serves only what it has from the store itself, and
// only while that is fresh: what cannot be had here is asked of the store.
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

	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
)

const (
	// PathPrefix is where feeds are served; the kind follows.
	PathPrefix = "/feed/"
	// keptChanges bounds the changes that a follower may be behind.
	keptChanges = 1024
	// maxWait bounds a follower's wait.
	maxWait = 10 * time.Second
	// smallPage is the size up to which a page is sent as it is: a few packets.
	smallPage = 4 << 10
	// freshFor is how much longer than a watch's wait the store may be silent before others are sent away.
	freshFor = time.Second
)

// Feed holds copies of objects by kind. Its methods are safe for concurrent use.
type Feed struct {
	wait time.Duration

	mu    sync.Mutex
	kinds map[string]*kind

	// packing guards what compresses pages.
	packing sync.Mutex
	packer  *gzip.Writer
	packed  bytes.Buffer
}

type kind struct {
	objects map[string]store.Object
	version int64
	// base is the version before the oldest change of the log.
	base  int64
	log   []change
	fresh time.Time
	wake  chan struct{}
}

type change struct {
	version int64
	event   store.Event
}

// Page is what a follower gets: all objects, or the changes after the version that it named.
type Page struct {
	Objects []store.Object `json:",omitempty"`
	Events  []store.Event  `json:",omitempty"`
	Version string
}

// New returns a Feed that knows nothing. A watch of the store waits up to wait.
func New(wait time.Duration) *Feed {
	packer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is one of the library's.
	}
	return &Feed{wait: wait, kinds: map[string]*kind{}, packer: packer}
}

func (f *Feed) kind(name string) *kind {
	k := f.kinds[name]
	if k == nil {
		k = &kind{objects: map[string]store.Object{}, wake: make(chan struct{})}
		f.kinds[name] = k
	}
	return k
}

// Apply takes what the host learned of a kind; direct tells that it came from the store itself.
func (f *Feed) Apply(name string, u mirror.Update, direct bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(name)
	if u.Err != nil {
		k.fresh = time.Time{}
		return
	}
	version, err := strconv.ParseInt(u.Version, 10, 64)
	if err != nil {
		return // Not a version of this store; followers ask the store.
	}
	if direct {
		k.fresh = now
	} else {
		k.fresh = time.Time{}
	}
	before := k.version
	if u.Full {
		k.replace(u.Objects, version)
	}
	for _, e := range u.Events {
		k.apply(e, version)
	}
	k.version = max(k.version, version)
	if len(k.log) > keptChanges {
		k.base = k.log[len(k.log)-keptChanges-1].version
		k.log = append([]change(nil), k.log[len(k.log)-keptChanges:]...)
	}
	if k.version != before {
		close(k.wake)
		k.wake = make(chan struct{})
	}
}

func (k *kind) replace(objects []store.Object, version int64) {
	if k.version == 0 {
		k.base = version
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

func (k *kind) apply(e store.Event, version int64) {
	if e.Type == store.Deleted {
		delete(k.objects, e.Object.Name)
	} else {
		k.objects[e.Object.Name] = e.Object
	}
	k.log = append(k.log, change{version, e})
}

// ServeHTTP implements [http.Handler].
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[len(PathPrefix):]
	q := r.URL.Query()
	if !q.Has("After") {
		page, status := f.list(name)
		f.answer(w, page, status)
		return
	}
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, waitErr := time.ParseDuration(q.Get("Wait"))
	if err != nil || waitErr != nil {
		http.Error(w, "After must be a version and Wait a duration; correct the query", http.StatusBadRequest)
		return
	}
	page, status, wake := f.changes(name, after)
	if status == http.StatusOK && len(page.Events) == 0 {
		t := time.NewTimer(min(wait, maxWait))
		defer t.Stop()
		select {
		case <-wake:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		page, status, _ = f.changes(name, after)
	}
	f.answer(w, page, status)
}

// list returns all objects, unless they are not fresh.
func (f *Feed) list(name string) (Page, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(name)
	switch {
	case k.version == 0:
		return Page{}, http.StatusTooEarly
	case !f.isFresh(k):
		return Page{}, http.StatusServiceUnavailable
	}
	p := Page{Version: strconv.FormatInt(k.version, 10)}
	for _, o := range k.objects {
		p.Objects = append(p.Objects, o)
	}
	return p, http.StatusOK
}

func (f *Feed) isFresh(k *kind) bool { return time.Since(k.fresh) < f.wait+freshFor }

func (f *Feed) changes(name string, after int64) (Page, int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(name)
	switch {
	case !f.isFresh(k):
		return Page{}, http.StatusServiceUnavailable, nil
	case after < k.base:
		return Page{}, http.StatusGone, nil
	}
	// A follower that has asked the store itself may know more than this host: it waits for what comes after.
	p := Page{Version: strconv.FormatInt(max(k.version, after), 10)}
	for _, c := range k.log {
		if c.version > after {
			p.Events = append(p.Events, c.event)
		}
	}
	return p, http.StatusOK, k.wake
}

func (f *Feed) answer(w http.ResponseWriter, p Page, status int) {
	if status != http.StatusOK {
		http.Error(w, "ask the store", status)
		return
	}
	raw, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(raw) >= smallPage {
		if raw, err = f.pack(raw); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
	}
	_, _ = w.Write(raw) // A follower that has gone asks again.
}

// pack compresses a page: objects of a kind are much alike, and links between hosts are narrow. One page at a
// time is compressed, for a compressor takes near a megabyte.
func (f *Feed) pack(raw []byte) ([]byte, error) {
	f.packing.Lock()
	defer f.packing.Unlock()
	f.packed.Reset()
	f.packer.Reset(&f.packed)
	if _, err := f.packer.Write(raw); err != nil {
		return nil, err
	}
	if err := f.packer.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(f.packed.Bytes()), nil
}
