package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
)

// bookmarkInterval is the time between two bookmarks of a watch.
const bookmarkInterval = time.Second

// Handler serves the store over HTTP like the platform, and the simulated faults and the counts of calls at /faults and
// /counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	prefix := strings.TrimSuffix(store.CollectionPath(""), "s")
	mux.HandleFunc("GET "+prefix+"{kind}", s.serveList)
	mux.HandleFunc("POST "+prefix+"{kind}", s.serveCreate)
	mux.HandleFunc("GET "+prefix+"{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT "+prefix+"{kind}/{name}", s.serveUpdate)
	mux.HandleFunc("DELETE "+prefix+"{kind}/{name}", s.serveDelete)
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Counts()) })
	return mux
}

// kindFromPath returns the kind that a request's path names, in lower case.
func kindFromPath(r *http.Request) string {
	return strings.TrimSuffix(r.PathValue("kind"), "s")
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		replyError(w, &store.Error{Reason: store.Invalid, Cause: err})
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), kindFromPath(r), r.PathValue("name"))
	replyObject(w, http.StatusOK, o, err)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "" {
		s.serveWatch(w, r)
		return
	}
	list, version, err := s.List(r.Context(), kindFromPath(r))
	if err != nil {
		replyError(w, err)
		return
	}
	out := store.WireList{Kind: "List", Metadata: store.WireMetadata{ResourceVersion: version}, Items: []store.WireObject{}}
	for _, o := range list {
		out.Items = append(out.Items, store.ToWire(o))
	}
	reply(w, http.StatusOK, out)
}

func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(r)
	if err == nil {
		o, err = s.Create(r.Context(), o)
	}
	replyObject(w, http.StatusCreated, o, err)
}

func (s *Store) serveUpdate(w http.ResponseWriter, r *http.Request) {
	o, err := readObject(r)
	if err == nil {
		o, err = s.Update(r.Context(), o)
	}
	replyObject(w, http.StatusOK, o, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	o := store.Object{Kind: kindFromPath(r), Name: r.PathValue("name"), Version: r.URL.Query().Get("resourceVersion")}
	if err := s.Delete(r.Context(), o); err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, store.WireStatus{Kind: "Status", Code: http.StatusOK})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Query().Get("fieldSelector"), "metadata.name=")
	ch, err := s.Watch(r.Context(), kindFromPath(r), name, r.URL.Query().Get("resourceVersion"))
	if err != nil {
		replyError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	t := time.NewTicker(bookmarkInterval)
	defer t.Stop()
	for {
		_ = rc.Flush()
		ev := store.Event{Type: store.Bookmark}
		select {
		case e, ok := <-ch:
			if !ok {
				return
			}
			ev = e
		case <-t.C:
		}
		if enc.Encode(store.WireEvent{Type: strings.ToUpper(ev.Type.String()), Object: store.ToWire(ev.Object)}) != nil {
			return
		}
	}
}

func readObject(r *http.Request) (store.Object, error) {
	var in store.WireObject
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 2*store.MaxValueBytes)).Decode(&in); err != nil {
		return store.Object{}, &store.Error{Reason: store.Invalid, Cause: err}
	}
	return store.FromWire(in), nil
}

func replyObject(w http.ResponseWriter, code int, o store.Object, err error) {
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, code, store.ToWire(o))
}

var statusByReason = map[store.Reason]int{
	store.Unavailable: http.StatusServiceUnavailable,
	store.NotFound:    http.StatusNotFound,
	store.Exists:      http.StatusConflict,
	store.Conflict:    http.StatusConflict,
	store.TooLarge:    http.StatusRequestEntityTooLarge,
	store.Expired:     http.StatusGone,
	store.Throttled:   http.StatusTooManyRequests,
	store.Invalid:     http.StatusBadRequest,
}

func replyError(w http.ResponseWriter, err error) {
	var e *store.Error
	if !errors.As(err, &e) {
		e = &store.Error{Reason: store.Unavailable, Cause: err}
	}
	st := store.WireStatus{Kind: "Status", Code: statusByReason[e.Reason], Reason: e.Reason.String()}
	if e.Reason == store.Exists {
		st.Reason = "AlreadyExists"
	}
	if e.Cause != nil {
		st.Message = e.Cause.Error()
	}
	reply(w, st.Code, st)
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
