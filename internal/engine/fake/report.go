package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxLoadSamples limits the past loads kept for delayed reports.
const maxLoadSamples = 4096

// loadSample is the load of an engine at one time.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// recordLoad adds a sample of the load after a change. The caller holds e.mu.
func (e *Engine) recordLoad() {
	if len(e.loadSamples) >= maxLoadSamples {
		e.loadSamples = append([]loadSample(nil), e.loadSamples[maxLoadSamples/2:]...)
	}
	e.loadSamples = append(e.loadSamples, loadSample{time.Now(), e.running, e.waiting.Len()})
}

// loadAt returns the load at a past time. The caller holds e.mu.
func (e *Engine) loadAt(at time.Time) loadSample {
	out := loadSample{}
	for _, s := range e.loadSamples {
		if s.at.After(at) {
			break
		}
		out = s
	}
	return out
}

// serveMetrics serves the load in the Prometheus text format, with the metric names that model engines use.
func (e *Engine) serveMetrics(w http.ResponseWriter, _ *http.Request) {
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

// SetModels replaces the loaded models. Each is "model", "model+adapter" or "model@version".
func (e *Engine) SetModels(models []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.Models = models
}

func (e *Engine) servePutModels(w http.ResponseWriter, r *http.Request) {
	var models []string
	if err := json.NewDecoder(r.Body).Decode(&models); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetModels(models)
	w.WriteHeader(http.StatusNoContent)
}

// serveModels lists the loaded models and adapters. An adapter names its base model as its parent.
func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
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
