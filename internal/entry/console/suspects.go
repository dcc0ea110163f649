package console

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// SuspectRegistry lists and lifts the marks of requests that crash backend servers. [dispatch.Loop] is one.
type SuspectRegistry interface {
	Suspects(ctx context.Context) ([]suspect.Suspect, error)
	Lift(fingerprint uint64)
}

// SuspectEntry is a mark in the form of the operators' interface. The fingerprint is hexadecimal, for
// readers of JSON lose digits of large numbers.
type SuspectEntry struct {
	Fingerprint string
	Own, Total  int
	Last        time.Time
	Verdict     string
}

// SuspectsHandler returns a handler that lists the marks, and with DELETE lifts the one of the parameter
// Fingerprint on this host.
func SuspectsHandler(m SuspectRegistry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
			listMarks(w, r, m)
		case http.MethodDelete:
			fp, err := strconv.ParseUint(r.URL.Query().Get("Fingerprint"), 16, 64)
			if err != nil {
				http.Error(w, "Fingerprint is no hexadecimal number; use one of GET "+r.URL.Path, http.StatusBadRequest)
				return
			}
			m.Lift(fp)
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	}
}

func listMarks(w http.ResponseWriter, r *http.Request, m SuspectRegistry) {
	list, err := m.Suspects(r.Context())
	if err != nil {
		http.Error(w, "the host stops; ask another one", http.StatusServiceUnavailable)
		return
	}
	out := make([]SuspectEntry, 0, len(list))
	for _, s := range list {
		out = append(out, SuspectEntry{strconv.FormatUint(s.Fingerprint, 16), s.Own, s.Total, s.Last, s.Verdict.String()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
