package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxSamples bounds the past loads kept for late reports.
const maxSamples = 4096

// sample is the load at one time.
type sample struct {
	at               time.Time
	running, waiting int
}

// sampled notes the load after a change. The caller holds e.mu.
func (e *Engine) sampled() {
	if len(e.samples) >= maxSamples {
		e.samples = append([]sample(nil), e.samples[maxSamples/2:]...)
	}
	e.samples = append(e.samples, sample{time.Now(), e.running, e.waiting.Len()})
}

// loadAt returns the load as it was. The caller holds e.mu.
func (e *Engine) loadAt(at time.Time) sample {
	out := sample{}
	for _, s := range e.samples {
		if s.at.After(at) {
			break
		}
		out = s
	}
	return out
}

// metrics reports the load in the text format and with the names that engines publish.
func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s, leaving := e.loadAt(time.Now().Add(-e.faults.ReportAge)), 0
	if e.faults.Leaving {
		leaving = 1
	}
	seq := e.cache.sequence
	e.mu.Unlock()
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", s.running)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", s.waiting)
	fmt.Fprintf(w, "# TYPE engine_leaving gauge\nengine_leaving %d\n", leaving)
	fmt.Fprintf(w, "# TYPE engine_cache_sequence counter\nengine_cache_sequence %d\n", seq)
}

// SetModels replaces what the engine has loaded: "model", "model+adapter" or "model@version".
func (e *Engine) SetModels(models []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.Models = models
}

func (e *Engine) putModels(w http.ResponseWriter, r *http.Request) {
	var models []string
	if err := json.NewDecoder(r.Body).Decode(&models); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetModels(models)
	w.WriteHeader(http.StatusNoContent)
}

// models lists what is loaded. Adapters name the model that they belong to.
func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Parent string `json:"parent,omitempty"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	e.mu.Lock()
	for _, m := range e.cfg.Models {
		if base, adapter, ok := strings.Cut(m, "+"); ok {
			out.Data = append(out.Data, model{adapter, "model", base})
			continue
		}
		out.Data = append(out.Data, model{m, "model", ""})
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
