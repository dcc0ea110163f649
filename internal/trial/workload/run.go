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

// Answer is what a caller got for one request.
type Answer struct {
	Organisation string
	Class        string
	RequestID    string
	// Key is the Idempotency-Key of a non-idempotent call.
	Key        string
	Status     int
	Code       string
	Ran        string
	Whole      bool
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

// Options of a [Run].
type Options struct {
	// Targets are the base URLs of entry hosts; requests go to them in turn.
	Targets []string
	// ExpectedText returns the right text of an answer of n tokens to a prompt; nil does not compare.
	ExpectedText func(prompt string, n int) string
	// Progress is called now and then with the share that is done; nil for none.
	Progress func(done float64)
	// DrainTimeout bounds the wait for open requests after the last was offered.
	DrainTimeout time.Duration
}

// maxResends bounds how often a caller sends a non-idempotent call again.
const maxResends = 5

// Run offers the profile's traffic and returns the answers in the order of arrival.
func Run(ctx context.Context, p Profile, o Options) ([]Answer, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	list := plan(p)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Duration)+max(o.DrainTimeout, 10*time.Second))
	defer cancel()
	r := &runner{o: o, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}}
	answers := make([]Answer, len(list))
	begun := time.Now()
	var wg sync.WaitGroup
	for i, a := range list {
		if !pause(ctx, a.at-time.Since(begun)) {
			answers = answers[:i]
			break
		}
		if o.Progress != nil && i%64 == 0 {
			o.Progress(float64(a.at) / float64(p.Duration))
		}
		wg.Go(func() { answers[i] = r.send(ctx, a) })
	}
	wg.Wait()
	if o.Progress != nil {
		o.Progress(1)
	}
	return answers, nil
}

func plan(p Profile) []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var list []arrival
	for i := range p.Sources {
		list = append(list, p.Sources[i].arrivals(rng, time.Duration(p.Duration))...)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].number = i
	}
	return list
}

func pause(ctx context.Context, d time.Duration) bool {
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
	o    Options
	http *http.Client
}

func (r *runner) send(ctx context.Context, a arrival) Answer {
	out := Answer{Organisation: a.source.Organisation, Class: a.source.Class, ArrivalOffset: a.at, source: a.source}
	if a.source.Path != "" {
		out.Key = fmt.Sprintf("%s-%d", a.source.Organisation, a.number)
	}
	for try := 0; ; try++ {
		r.once(ctx, a, try, &out)
		again := a.source.Resend && out.Ran != "not run" && out.Status >= http.StatusInternalServerError || out.Status == 0 && a.source.Resend
		if !again || try == maxResends || ctx.Err() != nil {
			return out
		}
		out.Resends++
		pause(ctx, 200*time.Millisecond)
	}
}

// once sends the request to one host and reads the answer.
func (r *runner) once(ctx context.Context, a arrival, try int, out *Answer) {
	base := r.o.Targets[(a.number+try)%len(r.o.Targets)]
	prompt := a.text()
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
	if out.Key != "" {
		req.Header.Set("Idempotency-Key", out.Key)
	}
	begun := time.Now()
	out.Status, out.Code, out.Ran, out.Whole = 0, "connection", "", false
	res, err := r.http.Do(req)
	if err != nil {
		out.Elapsed = time.Since(begun)
		return
	}
	defer res.Body.Close()
	out.Status, out.Code, out.RequestID = res.StatusCode, "", res.Header.Get("X-Request-Id")
	if res.StatusCode >= http.StatusBadRequest || a.source.Path != "" {
		readWhole(res, out)
		out.FirstToken = time.Since(begun)
	} else {
		r.readStream(res, prompt, begun, out)
	}
	out.Elapsed = time.Since(begun)
}

// text returns the prompt's text, which asks the stand-in engines for a number of tokens.
func (a arrival) text() string {
	return fmt.Sprintf("request %d tokens=%d%s", a.number, a.output, strings.Repeat(" word", max(0, a.prompt-3)))
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

func readWhole(res *http.Response, out *Answer) {
	b, err := io.ReadAll(res.Body)
	out.Whole = err == nil && res.StatusCode < http.StatusBadRequest
	out.Correct = out.Whole
	if e := gjson.GetBytes(b, "error"); e.Exists() {
		out.Code, out.Ran = e.Get("code").String(), e.Get("ran").String()
		out.RequestID = e.Get("request_id").String()
	}
}

func (r *runner) readStream(res *http.Response, prompt string, begun time.Time, out *Answer) {
	var text strings.Builder
	var gaps []time.Duration
	last := begun
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			if out.Code == "" {
				out.Code = "broken"
			}
			break
		}
		if ev.Data == "[DONE]" {
			out.Whole = true
			break
		}
		v := gjson.Parse(ev.Data)
		if e := v.Get("error"); e.Exists() {
			out.Code, out.Ran = e.Get("code").String(), e.Get("ran").String()
			continue
		}
		t := v.Get("choices.0.delta.content").String()
		if t == "" {
			continue
		}
		now := time.Now()
		if out.Tokens == 0 {
			out.FirstToken = now.Sub(begun)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		out.Tokens++
		text.WriteString(t)
	}
	if len(gaps) > 0 {
		sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
		out.TokenGapP95 = gaps[len(gaps)*95/100]
	}
	out.Correct = out.Whole && (r.o.ExpectedText == nil || text.String() == r.o.ExpectedText("user "+prompt+"\n", out.Tokens))
}
