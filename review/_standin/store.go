package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// metadata is the metadata of an object in the store.
type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// object is an object in the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// change is an entry of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// era rises by one each time the store comes back from a copy. While it is away, it doesn't answer.
	era  int64
	away bool
}

// storeCopy is a copy of the store's content.
type storeCopy struct {
	revision int64
	objects  map[string]map[string]object
	history  int
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{s.revision, map[string]map[string]object{}, len(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// leave makes the store silent, and cuts off the watches that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store answer again, with the content of a copy. What was written since is lost, and revisions go back.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.history = c.revision, c.objects, s.history[:c.history]
	s.era, s.away = s.era+1, false
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// isAway reports whether the store is away, and its era.
func (s *store) isAway() (away bool, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.era
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator, a runner or another writer does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // The specs are constants of this program.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

// putRaw writes an object with a spec of these bytes.
func (s *store) putRaw(kind, name string, raw json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.log(change{kind, o, true})
}

func (s *store) log(c change) {
	s.history = append(s.history, c)
	s.wake()
}

func (s *store) set(kind, name string, raw json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(raw) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, raw
	s.objects[kind][name] = o
	s.log(change{kind, o, false})
	return o
}

// ServeHTTP implements [http.Handler].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	away, era := s.isAway()
	if away {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o.encode())
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, "{}")
	default:
		s.write(w, r, kind)
	}
}

// writeJSON writes a response with a body in JSON.
func writeJSON(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // The caller may have gone.
}

// encode returns the object in JSON. The spec is passed on as it was written: encoding/json would look into it.
func (o object) encode() string {
	meta, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err) // It holds only names and numbers.
	}
	return fmt.Sprintf(`{"metadata":%s,"spec":%s,"status":null}`, meta, o.Spec)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	var texts []string
	for _, o := range items {
		texts = append(texts, o.encode())
	}
	writeJSON(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"hasMore":false,"at":%d}`, strings.Join(texts, ","), at))
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	old, exists := s.objects[kind][in.Metadata.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPost && exists, in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, old.encode())
		return
	}
	o := s.set(kind, in.Metadata.Name, in.Spec)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, o.encode())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		s.mu.Lock()
		var events []string
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > from {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, c.object.encode(), c.deleted))
			}
		}
		at, changed, gone := s.revision, s.changed, s.away || strconv.FormatInt(s.era, 10) != w.Header().Get("Store-Era")
		s.mu.Unlock()
		switch {
		case gone:
			panic(http.ErrAbortHandler) // A watch that waits is cut off.
		case from > at:
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(events, ","), at))
			return
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
