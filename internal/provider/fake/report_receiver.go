package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/report"
	"shallotramp/internal/usage/window"
)

// ReportFaults are the failures that a [ReportReceiver] simulates. The zero value simulates none.
type ReportFaults struct {
	Down bool
	// Delay is the time for which each report is held before it takes effect.
	Delay time.Duration
	// LoseAnswers is the number of next reports that are accepted but whose responses are lost.
	LoseAnswers int
}

// ReceivedReport is one report as it was received, accepted or not.
type ReceivedReport struct {
	Report report.Report
	Fence  uint64
	At     time.Time
}

// ReportReceiver is an in-memory receiver of usage reports that records every report. It does not check fencing numbers
// or figures, so that tests see all that senders send.
type ReportReceiver struct {
	mu       sync.Mutex
	faults   ReportFaults
	received []ReceivedReport
}

// NewReportReceiver returns a receiver that has no reports.
func NewReportReceiver() *ReportReceiver { return &ReportReceiver{} }

// SetFaults replaces the simulated faults.
func (p *ReportReceiver) SetFaults(f ReportFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// All returns every report received, in the order of receipt.
func (p *ReportReceiver) All() []ReceivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedReport(nil), p.received...)
}

// Send receives a report like [report.Client.Send], for tests without HTTP.
func (p *ReportReceiver) Send(ctx context.Context, r report.Report, fence uint64) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return &report.UnconfirmedError{Window: r.Window, Cause: ctx.Err()}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return &report.UnconfirmedError{Window: r.Window, Cause: errors.New("the platform is down")}
	}
	p.received = append(p.received, ReceivedReport{r, fence, time.Now()})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return &report.UnconfirmedError{Window: r.Window, Cause: errors.New("the response was lost")}
	}
	return nil
}

// Fetch implements [report.Reader]. It returns the first report of the window.
func (p *ReportReceiver) Fetch(_ context.Context, id window.ID) (report.Report, bool, error) {
	for _, r := range p.All() {
		if r.Report.Window == id {
			return r.Report, true, nil
		}
	}
	return report.Report{}, false, nil
}

// Handler serves the report interface over HTTP.
func (p *ReportReceiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+report.PathPrefix+"{id}", p.serve)
	mux.HandleFunc("GET "+report.PathPrefix+"{id}", p.serveFetch)
	mux.HandleFunc("GET /usage/reports", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.All()) })
	return mux
}

func (p *ReportReceiver) serve(w http.ResponseWriter, r *http.Request) {
	var in report.Report
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Window != window.ID(r.PathValue("id")) {
		http.Error(w, "the body is not a report of the window in JSON", http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(report.FenceHeader), 10, 64)
	if err := p.Send(r.Context(), in, fence); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *ReportReceiver) serveFetch(w http.ResponseWriter, r *http.Request) {
	out, found, _ := p.Fetch(r.Context(), window.ID(r.PathValue("id")))
	if !found {
		http.Error(w, "no report of the window was received", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, out)
}
