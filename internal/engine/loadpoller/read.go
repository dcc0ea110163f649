package loadpoller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/tidwall/gjson"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/dispatch"
)

// maxResponseBytes limits how much of one response is read.
const maxResponseBytes = 4 << 20

// The metrics that model engines and plain services publish.
const (
	serviceMetric  = "service_requests_running"
	runningMetric  = "vllm:num_requests_running"
	waitingMetric  = "vllm:num_requests_waiting"
	leavingMetric  = "engine_leaving"
	sequenceMetric = "engine_cache_sequence"
)

// StatusError reports a response with a server error in place of metrics.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("GET %s: unexpected status %d; check that the backend server's address in the release belongs to a model engine", e.URL, e.Status)
}

// poll reads the load of one server, and its models if withModels is true, and sends the result.
func (p *Poller) poll(ctx context.Context, v *server, address string, withModels bool) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	r := result{server: v}
	r.load, r.err = p.readMetrics(ctx, "http://"+address+"/metrics")
	if v.protocol == object.Service && isStatusError(r.err) {
		// A plain service does not have to report its load: any response shows that it is alive.
		r.err, r.loadUnknown = nil, true
	}
	if r.err == nil && withModels {
		r.load.Loaded, r.err = p.readModels(ctx, "http://"+address+"/v1/models")
		r.hasModels = r.err == nil
	}
	r.at = time.Now()
	p.results <- r
}

// isStatusError reports whether err is a [StatusError], which means that the server responded.
func isStatusError(err error) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr)
}

// get returns the status and the body of the response to a GET request.
func (p *Poller) get(ctx context.Context, url string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

// readMetrics returns the load that a server publishes. For a server without metrics the load is zero, because the
// response shows that the server is alive.
func (p *Poller) readMetrics(ctx context.Context, url string) (dispatch.Load, error) {
	start := time.Now()
	status, body, err := p.get(ctx, url)
	if err != nil {
		return dispatch.Load{}, err
	}
	// The server measured between the request and the response; the middle is the best estimate.
	l := dispatch.Load{At: start.Add(time.Since(start) / 2)}
	switch {
	case status >= http.StatusInternalServerError:
		return l, &StatusError{URL: url, Status: status}
	case status != http.StatusOK:
		return l, nil
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		// A plain service may serve anything on this path; the response shows that it is alive.
		return l, nil
	}
	// A server may run several engines or models, which differ in the labels of their metrics.
	sum := func(name string) (total float64) {
		for _, m := range families[name].GetMetric() {
			total += m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
		}
		return total
	}
	l.Running = int(sum(runningMetric) + sum(serviceMetric))
	l.Waiting = int(sum(waitingMetric))
	l.Leaving = sum(leavingMetric) > 0
	l.CacheSequence = uint64(sum(sequenceMetric))
	return l, nil
}

// readModels returns the models and adapters that a server has loaded, none if it does not list them. An adapter names
// its base model as its parent and is returned as "model+adapter" too.
func (p *Poller) readModels(ctx context.Context, url string) ([]string, error) {
	status, body, err := p.get(ctx, url)
	if err != nil || status != http.StatusOK {
		return nil, err
	}
	var out []string
	for _, m := range gjson.GetBytes(body, "data").Array() {
		id := m.Get("id").String()
		out = append(out, id)
		if parent := m.Get("parent").String(); parent != "" {
			out = append(out, parent+"+"+id)
		}
	}
	return out, nil
}
