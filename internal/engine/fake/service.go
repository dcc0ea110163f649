package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxRecordedRequests limits the requests that a [RequestLog] keeps.
const maxRecordedRequests = 200

// RecordedRequest is a request as an [Engine] or [Service] received it.
type RecordedRequest struct {
	Method string
	URL    string
	Header http.Header
	Body   string
	At     time.Time
}

// RequestLog keeps the last requests as they were received.
type RequestLog struct {
	requestsMu sync.Mutex
	requests   []RecordedRequest
}

// Record adds r and returns its body, which can still be read from r.
func (l *RequestLog) Record(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.requestsMu.Lock()
	defer l.requestsMu.Unlock()
	l.requests = append(l.requests, RecordedRequest{r.Method, r.URL.String(), r.Header.Clone(), string(body), time.Now()})
	if len(l.requests) > maxRecordedRequests {
		l.requests = append([]RecordedRequest(nil), l.requests[len(l.requests)-maxRecordedRequests:]...)
	}
	return body, nil
}

// Requests returns the recorded requests, oldest first.
func (l *RequestLog) Requests() []RecordedRequest {
	l.requestsMu.Lock()
	defer l.requestsMu.Unlock()
	return append([]RecordedRequest{}, l.requests...)
}

// ServeRequests serves the recorded requests as JSON.
func (l *RequestLog) ServeRequests(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Requests())
}

// ServiceFaults are the faults that a [Service] simulates. The zero value simulates none.
type ServiceFaults struct {
	// Delay is added to the duration of each call.
	Delay time.Duration
	// LoseAnswers is the number of next calls that run and then drop their connections without a response.
	LoseAnswers int
	// Gone drops each connection.
	Gone bool
}

// Service is a plain HTTP service with calls that must not run twice. It implements [http.Handler].
type Service struct {
	RequestLog
	mux *http.ServeMux

	running atomic.Int64

	mu     sync.Mutex
	faults ServiceFaults
	// runs counts calls by idempotency key.
	runs map[string]int
}

// NewService returns a service that has run no calls.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.HandleFunc("GET /seen", s.ServeRequests)
	s.mux.HandleFunc("GET /metrics", s.serveMetrics)
	s.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Runs()) })
	s.mux.HandleFunc("PUT /faults", s.serveFaults)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// SetFaults replaces the faults simulated from now on.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often calls with each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// serveMetrics serves the load in the Prometheus text format.
func (s *Service) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	gone := s.faults.Gone
	s.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "# TYPE service_requests_running gauge\nservice_requests_running %d\n", s.running.Load())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	f := s.faults
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if f.Gone {
		panic(http.ErrAbortHandler)
	}
	body, err := s.Record(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(f.Delay)
	if k := r.Header.Get("Idempotency-Key"); k != "" && r.Method != http.MethodGet {
		s.mu.Lock()
		s.runs[k]++
		s.mu.Unlock()
	}
	if f.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Method": r.Method, "Path": r.URL.Path, "Bytes": len(body)})
}
