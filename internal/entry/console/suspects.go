package console

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// SuspectRegistry lists the requests that are marked as crashing backend servers, and lifts such marks.
// [dispatch.Loop] implements it.
type SuspectRegistry interface {
	Suspects(ctx context.Context) ([]suspect.Suspect, error)
	Lift(fingerprint uint64)
}

// SuspectEntry is a marked request in the JSON of the operators' interface. The fingerprint is a hexadecimal string,
// because some JSON readers lose digits of large numbers.
type SuspectEntry struct {
	Fingerprint string
	Own, Total  int
	Last        time.Time
	Verdict     string
}

// SuspectsHandler returns a handler that lists the marked requests. With DELETE it lifts this host's mark of the
// request whose fingerprint is in the parameter Fingerprint.
func SuspectsHandler(registry SuspectRegistry) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
			listSuspects(w, r, registry)
		case http.MethodDelete:
			fp, err := strconv.ParseUint(r.URL.Query().Get("Fingerprint"), 16, 64)
			if err != nil {
				http.Error(w, "Fingerprint is not a hexadecimal number; use one that is listed by GET "+r.URL.Path, http.StatusBadRequest)
				return
			}
			registry.Lift(fp)
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	}
}

func listSuspects(w http.ResponseWriter, r *http.Request, registry SuspectRegistry) {
	suspects, err := registry.Suspects(r.Context())
	if err != nil {
		http.Error(w, "the host is stopping; ask another host", http.StatusServiceUnavailable)
		return
	}
	out := make([]SuspectEntry, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, SuspectEntry{strconv.FormatUint(s.Fingerprint, 16), s.OwnCrashes, s.TotalCrashes, s.LastCrash, s.Verdict.String()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
