// Package fake provides small stand-ins of backend servers: a model engine with
// the OpenAI-compatible HTTP API and a plain booking service. They can be slow,
// crash, break streams off and report late. Tests and the demo use them.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
)

// Faults are the failures that an [Engine] shows. The zero value shows none.
type Faults struct {
	// SlowFactor stretches each duration; 0 is 1.
	SlowFactor float64
	// BreakAfter ends each stream without its end after this many tokens; 0 is never.
	BreakAfter int
	// CrashOn makes requests whose body contains the text crash the engine for CrashFor.
	CrashOn  string
	CrashFor time.Duration
	// Leaving announces that the engine goes.
	Leaving bool
	// Gone drops each connection.
	Gone bool
	// ReportAge is how old the load in the metrics is.
	ReportAge time.Duration
	// CacheDelay is how late cache events are, and DropCacheEvents n leaves out each n-th of them; 0 is none.
	CacheDelay      time.Duration
	DropCacheEvents int
}

// Config describes an [Engine].
type Config struct {
	Name   string
	Models []string
	// Slots is how many requests run at once; others wait in order of priority.
	Slots int
	// TokenInterval is the time of one output token, PrefillToken that of one input token that is not cached.
	TokenInterval time.Duration
	PrefillToken  time.Duration
	// CacheBlocks is how many blocks of prompts are cached; 0 is 4096.
	CacheBlocks int
}

// TokenCount is what an engine did for one request id.
type TokenCount struct {
	Prompt, Cached, Output int
}

// Engine is a model engine. It implements [http.Handler].
type Engine struct {
	RequestLog
	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	waiting waitList
	running int
	down    time.Time
	crashed chan struct{}
	counts  map[string]TokenCount
	cache   *cache
	samples []sample
}

// NewEngine returns an engine.
func NewEngine(cfg Config) *Engine {
	if cfg.CacheBlocks <= 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), crashed: make(chan struct{}),
		counts: map[string]TokenCount{}, cache: newCache(cfg.CacheBlocks),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("POST /v1/embeddings", e.embed)
	e.mux.HandleFunc("GET /v1/models", e.models)
	e.mux.HandleFunc("PUT /models", e.putModels)
	e.mux.HandleFunc("GET /metrics", e.metrics)
	e.mux.HandleFunc("GET /cache", e.serveCache)
	e.mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("GET /counts", e.serveCounts)
	e.mux.HandleFunc("PUT /faults", e.serveFaults)
	e.mux.HandleFunc("GET /seen", e.ServeRequests)
	return e
}

// SetFaults replaces the faults shown from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// TokenCounts returns the tokens counted by request id.
func (e *Engine) TokenCounts() map[string]TokenCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]TokenCount, len(e.counts))
	for id, c := range e.counts {
		out[id] = c
	}
	return out
}

// ServeHTTP implements [http.Handler]. A crashed engine drops connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.faults.Gone || time.Now().Before(e.down)
	e.mu.Unlock()
	if down && !strings.HasPrefix(r.URL.Path, "/faults") && r.URL.Path != "/seen" && r.URL.Path != "/counts" {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.TokenCounts())
}

// job is one request in the engine.
type job struct {
	id, model, prompt string
	// prefix is the part of the body whose blocks are cached.
	prefix           string
	chat, stream     bool
	usage, eachUsage bool
	maxTokens, from  int
	priority         int
	length           int
	partial          string
}

var ownTokens = regexp.MustCompile(`(w[0-9a-f]{5} )+$`)

var wantedLength = regexp.MustCompile(`tokens=(\d+)`)

func readJob(r *http.Request, body []byte) (job, error) {
	if !gjson.ValidBytes(body) {
		return job{}, fmt.Errorf("the body is not JSON")
	}
	v := gjson.ParseBytes(body)
	j := job{
		id: r.Header.Get("X-Request-Id"), model: v.Get("model").String(),
		chat:   strings.Contains(r.URL.Path, "/chat/"),
		stream: v.Get("stream").Bool(), usage: v.Get("stream_options.include_usage").Bool(),
		eachUsage: v.Get("stream_options.continuous_usage_stats").Bool(),
		maxTokens: int(v.Get("max_tokens").Int()), priority: int(v.Get("priority").Int()),
	}
	if n := v.Get("max_completion_tokens"); n.Exists() {
		j.maxTokens = int(n.Int())
	}
	j.prompt = v.Get("prompt").String()
	if j.prefix = v.Get("messages").Raw; j.prefix == "" {
		j.prefix = v.Get("prompt").Raw
	}
	for _, m := range v.Get("messages").Array() {
		if v.Get("continue_final_message").Bool() && m.Get("role").String() == "assistant" {
			j.partial = m.Get("content").String()
			continue
		}
		j.prompt += m.Get("role").String() + " " + m.Get("content").String() + "\n"
	}
	if !j.chat {
		// A prompt that ends in tokens of the stand-in's own continues an answer.
		j.partial = ownTokens.FindString(j.prompt)
		j.prompt = strings.TrimSuffix(j.prompt, j.partial)
	}
	j.from = len(strings.Fields(j.partial))
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.prompt))
	j.length = 16 + int(h.Sum32()%48)
	if m := wantedLength.FindStringSubmatch(j.prompt); m != nil {
		j.length, _ = strconv.Atoi(m[1])
	}
	if j.maxTokens > 0 && j.length > j.from+j.maxTokens {
		j.length = j.from + j.maxTokens
	}
	return j, nil
}

// Token returns the token at position i of the answer to prompt, so that tests know the whole answer.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%05x ", h.Sum32()&0xfffff)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := e.Record(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.crashIfTold(body)
	j, err := readJob(r, body)
	if err != nil {
		http.Error(w, `{"error":{"message":"`+err.Error()+`"}}`, http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	context.AfterFunc(r.Context(), stop)
	go func() {
		select {
		case <-crashed:
			stop()
		case <-ctx.Done():
		}
	}()
	if !e.acquire(ctx, j.priority) {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	e.run(ctx, w, j)
}

func (e *Engine) crashIfTold(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashOn == "" || !strings.Contains(string(body), e.faults.CrashOn) {
		return
	}
	e.vanish(e.faults.CrashFor)
	panic(http.ErrAbortHandler)
}

// run generates the answer; each wait ends early when ctx does.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j job) {
	prompt := len(strings.Fields(j.prompt))
	cached := e.prefill(j, prompt)
	if !e.wait(ctx, time.Duration(prompt-cached)*e.cfg.PrefillToken) {
		panic(http.ErrAbortHandler)
	}
	e.count(j.id, TokenCount{Prompt: prompt, Cached: cached})
	a := answer{w: w, j: j, prompt: prompt, cached: cached}
	a.begin()
	for i := j.from; i < j.length; i++ {
		if !e.wait(ctx, e.cfg.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
		if n := e.breakAfter(); n > 0 && i-j.from >= n {
			panic(http.ErrAbortHandler)
		}
		e.count(j.id, TokenCount{Output: 1})
		if a.token(Token(j.prompt, i), i-j.from+1) != nil {
			return
		}
	}
	a.end(j.length - j.from)
}

func (e *Engine) breakAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.BreakAfter
}

// prefill caches the prompt's blocks and returns how many of its words were cached before.
func (e *Engine) prefill(j job, words int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.add(j.prefix, e.cfg.CacheBlocks)
	if cached == 0 {
		return 0
	}
	return words * cached / len(j.prefix)
}

func (e *Engine) count(id string, add TokenCount) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts[id]
	c.Prompt += add.Prompt
	c.Cached += add.Cached
	c.Output += add.Output
	e.counts[id] = c
}

func (e *Engine) wait(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	if f := e.faults.SlowFactor; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	e.mu.Unlock()
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) embed(w http.ResponseWriter, r *http.Request) {
	body, err := e.Record(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := gjson.ParseBytes(body)
	words := len(strings.Fields(v.Get("input").String()))
	e.count(r.Header.Get("X-Request-Id"), TokenCount{Prompt: words})
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"object":"list","model":%q,"data":[{"object":"embedding","index":0,"embedding":[0.1,0.2,0.3]}],"usage":{"prompt_tokens":%d,"total_tokens":%d}}`,
		v.Get("model").String(), words, words)
}

// Crash breaks all connections, and drops new ones until d has passed.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vanish(d)
}

// vanish is [Engine.Vanish] for a caller that holds e.mu.
func (e *Engine) vanish(d time.Duration) {
	e.down = time.Now().Add(d)
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.cache = newCache(e.cfg.CacheBlocks)
}
