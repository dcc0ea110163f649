package load

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

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 4 << 20

// Names of the metrics that engines and plain services publish.
const (
	serviceMetric  = "service_requests_running"
	runningMetric  = "vllm:num_requests_running"
	waitingMetric  = "vllm:num_requests_waiting"
	leavingMetric  = "engine_leaving"
	sequenceMetric = "engine_cache_sequence"
)

// StatusError is an answer that tells nothing of the load.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("GET %s answered %d; see whether the backend server's address in the release is that of a model engine", e.URL, e.Status)
}

// poll reads one server and sends the result.
func (p *Poller) poll(ctx context.Context, v *server, address string, list bool) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	r := result{server: v}
	r.load, r.err = p.readMetrics(ctx, "http://"+address+"/metrics")
	if v.protocol == object.Service && answered(r.err) {
		// A plain service need not tell its load: any answer shows that it lives.
		r.err, r.untold = nil, true
	}
	if r.err == nil && list {
		r.load.Loaded, r.err = p.readModels(ctx, "http://"+address+"/v1/models")
		r.listed = r.err == nil
	}
	r.at = time.Now()
	p.results <- r
}

// answered reports whether a failure to read a load came with an answer.
func answered(err error) bool {
	var answer *StatusError
	return errors.As(err, &answer)
}

// get returns the status and the body of an answer.
func (p *Poller) get(ctx context.Context, url string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, nil, err
	}
	answer, err := p.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return answer.StatusCode, body, err
}

// readMetrics returns the load that a server publishes. One without metrics is alive, and has no load.
func (p *Poller) readMetrics(ctx context.Context, url string) (dispatch.Load, error) {
	asked := time.Now()
	status, body, err := p.get(ctx, url)
	if err != nil {
		return dispatch.Load{}, err
	}
	// The server measured between the question and the answer.
	l := dispatch.Load{At: asked.Add(time.Since(asked) / 2)}
	switch {
	case status >= http.StatusInternalServerError:
		return l, &StatusError{URL: url, Status: status}
	case status != http.StatusOK:
		return l, nil
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		// A plain service may answer each path in its own way; it is alive.
		return l, nil
	}
	// A server may hold several engines or models, told apart by labels.
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

// readModels lists what a server has loaded, nothing when it does not tell. Adapters, which name the
// model they belong to as their parent, are listed as "model+adapter" too.
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
