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

// ReportFaults are the failures that [Reports] shows. The zero value shows none.
type ReportFaults struct {
	Down bool
	// Delay holds each report before it takes effect.
	Delay time.Duration
	// LoseAnswers accepts the next reports and then fails.
	LoseAnswers int
}

// ReceivedReport is one report as it came, accepted or not.
type ReceivedReport struct {
	Report report.Report
	Fence  uint64
	At     time.Time
}

// ReportReceiver is a receiver of usage reports in memory that records every one. It does
// not check fencing numbers or figures, so that tests see what senders do.
type ReportReceiver struct {
	mu     sync.Mutex
	faults ReportFaults
	all    []ReceivedReport
}

// NewReportReceiver returns a receiver without reports.
func NewReportReceiver() *ReportReceiver { return &ReportReceiver{} }

// SetFaults replaces the faults shown from now on.
func (p *ReportReceiver) SetFaults(f ReportFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// All returns every report received, in order.
func (p *ReportReceiver) All() []ReceivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedReport(nil), p.all...)
}

// Send takes a report as [report.Client.Send] does, for tests without HTTP.
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
	p.all = append(p.all, ReceivedReport{r, fence, time.Now()})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return &report.UnconfirmedError{Window: r.Window, Cause: errors.New("the answer was lost")}
	}
	return nil
}

// Fetch implements [report.Reader] with the first report of the window.
func (p *ReportReceiver) Fetch(_ context.Context, id window.ID) (report.Report, bool, error) {
	for _, r := range p.All() {
		if r.Report.Window == id {
			return r.Report, true, nil
		}
	}
	return report.Report{}, false, nil
}

// Handler serves p over HTTP.
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
		http.Error(w, "the body is no report of the window", http.StatusBadRequest)
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
		http.Error(w, "the window was not reported", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, out)
}
