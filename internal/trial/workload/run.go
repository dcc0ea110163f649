package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"
)

// Answer is the outcome of one request, including its resends.
type Answer struct {
	Organisation string
	Class        string
	RequestID    string
	// Key is the Idempotency-Key sent with a request to a plain service.
	Key string
	// Status is the HTTP status, or 0 if no response arrived.
	Status int
	// Code is the code of the error in the response, "connection" if no response arrived, or "broken" if reading a
	// stream failed and no error was in it.
	Code string
	// Ran is what the error says about whether the request ran, such as "not run" or "may have run".
	Ran string
	// Whole is true if the answer is complete.
	Whole bool
	// Correct is true if the answer is complete and has the expected text.
	Correct    bool
	Tokens     int
	FirstToken time.Duration
	Elapsed    time.Duration
	// TokenGapP95 is the 95th percentile of the time between tokens.
	TokenGapP95   time.Duration
	Resends       int
	ArrivalOffset time.Duration
	source        *Source
}

// Options configure [Run].
type Options struct {
	// Targets are the base URLs of the hosts; requests are sent to them in turn.
	Targets []string
	// ExpectedText returns the text expected in an answer of n tokens to a prompt. If nil, texts are not checked.
	ExpectedText func(prompt string, n int) string
	// Progress is called from time to time with the part of the run that is done, from 0 to 1. It may be nil.
	Progress func(done float64)
	// DrainTimeout bounds the wait for open requests after [Profile].Duration. It is at least 10 seconds.
	DrainTimeout time.Duration
}

// maxResends is the maximum number of times a caller sends a call again.
const maxResends = 5

// Run sends the requests of the profile and returns the answers in the order of arrival.
func Run(ctx context.Context, p Profile, opts Options) ([]Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	arrivals := planArrivals(p)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Duration)+max(opts.DrainTimeout, 10*time.Second))
	defer cancel()
	r := &runner{opts: opts, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
	answers := make([]Answer, len(arrivals))
	startedAt := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !sleep(ctx, a.offset-time.Since(startedAt)) {
			answers = answers[:i]
			break
		}
		if opts.Progress != nil && i%64 == 0 {
			opts.Progress(float64(a.offset) / float64(p.Duration))
		}
		wg.Go(func() { answers[i] = r.send(ctx, a) })
	}
	wg.Wait()
	if opts.Progress != nil {
		opts.Progress(1)
	}
	return answers, nil
}

func planArrivals(p Profile) []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var arrivals []arrival
	for i := range p.Sources {
		arrivals = append(arrivals, p.Sources[i].arrivals(rng, time.Duration(p.Duration))...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].offset < arrivals[j].offset })
	for i := range arrivals {
		arrivals[i].number = i
	}
	return arrivals
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type runner struct {
	opts Options
	http *http.Client
}

func (r *runner) send(ctx context.Context, a arrival) Answer {
	answer := Answer{Organisation: a.source.Organisation, Class: a.source.Class, ArrivalOffset: a.offset, source: a.source}
	if a.source.Path != "" {
		answer.Key = fmt.Sprintf("%s-%d", a.source.Organisation, a.number)
	}
	for attempt := 0; ; attempt++ {
		r.sendOnce(ctx, a, attempt, &answer)
		resend := a.source.Resend && answer.Ran != "not run" && answer.Status >= http.StatusInternalServerError || answer.Status == 0 && a.source.Resend
		if !resend || attempt == maxResends || ctx.Err() != nil {
			return answer
		}
		answer.Resends++
		sleep(ctx, 200*time.Millisecond)
	}
}

// sendOnce sends the request to one host and records the answer.
func (r *runner) sendOnce(ctx context.Context, a arrival, attempt int, answer *Answer) {
	base := r.opts.Targets[(a.number+attempt)%len(r.opts.Targets)]
	prompt := a.promptText()
	url, body := base+"/v1/chat/completions", chatBody(a, prompt)
	if a.source.Path != "" {
		url, body = base+a.source.Path, []byte(`{"Slot":1}`)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if a.source.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.source.Key)
	}
	if a.source.Class != "" {
		req.Header.Set("X-Request-Class", a.source.Class)
	}
	if answer.Key != "" {
		req.Header.Set("Idempotency-Key", answer.Key)
	}
	sentAt := time.Now()
	answer.Status, answer.Code, answer.Ran, answer.Whole = 0, "connection", "", false
	res, err := r.http.Do(req)
	if err != nil {
		answer.Elapsed = time.Since(sentAt)
		return
	}
	defer res.Body.Close()
	answer.Status, answer.Code, answer.RequestID = res.StatusCode, "", res.Header.Get("X-Request-Id")
	if res.StatusCode >= http.StatusBadRequest || a.source.Path != "" {
		readBody(res, answer)
		answer.FirstToken = time.Since(sentAt)
	} else {
		r.readStream(res, prompt, sentAt, answer)
	}
	answer.Elapsed = time.Since(sentAt)
}

// promptText returns the text of the prompt. The fake engines read from it how many tokens to generate.
func (a arrival) promptText() string {
	return fmt.Sprintf("request %d tokens=%d%s", a.number, a.outputTokens, strings.Repeat(" word", max(0, a.promptWords-3)))
}

func chatBody(a arrival, prompt string) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	b, err := json.Marshal(struct {
		Model    string    `json:"model"`
		Messages []message `json:"messages"`
		Stream   bool      `json:"stream"`
	}{a.source.Model, []message{{"user", prompt}}, true})
	if err != nil {
		panic(err) // strings and a bool always marshal
	}
	return b
}

func readBody(res *http.Response, answer *Answer) {
	b, err := io.ReadAll(res.Body)
	answer.Whole = err == nil && res.StatusCode < http.StatusBadRequest
	answer.Correct = answer.Whole
	if e := gjson.GetBytes(b, "error"); e.Exists() {
		answer.Code, answer.Ran = e.Get("code").String(), e.Get("ran").String()
		answer.RequestID = e.Get("request_id").String()
	}
}

func (r *runner) readStream(res *http.Response, prompt string, sentAt time.Time, answer *Answer) {
	var text strings.Builder
	var gaps []time.Duration
	last := sentAt
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			if answer.Code == "" {
				answer.Code = "broken"
			}
			break
		}
		if ev.Data == "[DONE]" {
			answer.Whole = true
			break
		}
		v := gjson.Parse(ev.Data)
		if e := v.Get("error"); e.Exists() {
			answer.Code, answer.Ran = e.Get("code").String(), e.Get("ran").String()
			continue
		}
		t := v.Get("choices.0.delta.content").String()
		if t == "" {
			continue
		}
		now := time.Now()
		if answer.Tokens == 0 {
			answer.FirstToken = now.Sub(sentAt)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		answer.Tokens++
		text.WriteString(t)
	}
	if len(gaps) > 0 {
		sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
		answer.TokenGapP95 = gaps[len(gaps)*95/100]
	}
	answer.Correct = answer.Whole && (r.opts.ExpectedText == nil || text.String() == r.opts.ExpectedText("user "+prompt+"\n", answer.Tokens))
}
