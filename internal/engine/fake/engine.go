// Package fake provides fakes of backend servers: a model engine with the
// OpenAI-compatible HTTP API and a plain booking service. They can be slow,
// crash, break off streams and report their load with a delay. Tests and the
// demo use them.
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

// Faults are the faults that an [Engine] simulates. The zero value simulates none.
type Faults struct {
	// SlowFactor multiplies each duration; 0 means 1.
	SlowFactor float64
	// BreakAfter drops the connection of each completion after this many tokens; 0 means never.
	BreakAfter int
	// CrashOn is a text that crashes the engine for CrashFor if the body of a request contains it.
	CrashOn  string
	CrashFor time.Duration
	// Leaving makes the metrics announce that the engine is about to leave.
	Leaving bool
	// Gone drops each connection.
	Gone bool
	// ReportAge is the age of the load in the metrics.
	ReportAge time.Duration
	// CacheDelay is the delay of cache events.
	CacheDelay time.Duration
	// DropCacheEvents n drops every n-th cache event; 0 drops none.
	DropCacheEvents int
}

// Config configures an [Engine].
type Config struct {
	Name   string
	Models []string
	// Slots is how many requests run concurrently; others wait in order of priority.
	Slots int
	// TokenInterval is the time to generate one output token.
	TokenInterval time.Duration
	// PrefillToken is the time to prefill one input token that is not cached.
	PrefillToken time.Duration
	// CacheBlocks is the size of the prefix cache in blocks; 0 means 4096.
	CacheBlocks int
}

// TokenCount counts the tokens that an engine processed for one request id.
type TokenCount struct {
	Prompt, Cached, Output int
}

// Engine is a fake model engine. It implements [http.Handler].
type Engine struct {
	RequestLog
	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	waiting waitQueue
	// running counts the slots in use.
	running   int
	downUntil time.Time
	// crashed is closed at the next crash.
	crashed     chan struct{}
	counts      map[string]TokenCount
	cache       *cache
	loadSamples []loadSample
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
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/embeddings", e.serveEmbeddings)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.HandleFunc("PUT /models", e.servePutModels)
	e.mux.HandleFunc("GET /metrics", e.serveMetrics)
	e.mux.HandleFunc("GET /cache", e.serveCache)
	e.mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("GET /counts", e.serveCounts)
	e.mux.HandleFunc("PUT /faults", e.serveFaults)
	e.mux.HandleFunc("GET /seen", e.ServeRequests)
	return e
}

// SetFaults replaces the faults simulated from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// TokenCounts returns the token counts by request id.
func (e *Engine) TokenCounts() map[string]TokenCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]TokenCount, len(e.counts))
	for id, c := range e.counts {
		out[id] = c
	}
	return out
}

// ServeHTTP implements [http.Handler]. A crashed engine drops all connections except those for /faults, /seen and
// /counts, which control and inspect the fake itself.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.faults.Gone || time.Now().Before(e.downUntil)
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

// job is one completion request.
type job struct {
	id, model, prompt string
	// prefix is the part of the body whose blocks are cached.
	prefix       string
	chat, stream bool
	// finalUsage asks for the usage at the end of a stream, usageInChunks for the usage so far in each chunk.
	finalUsage, usageInChunks bool
	// startToken is the number of answer tokens in partial.
	maxTokens, startToken int
	priority              int
	// totalTokens is the length of the complete answer, including partial.
	totalTokens int
	// partial is the beginning of the answer if the request asks to continue one.
	partial string
}

// generatedSuffix matches tokens of the form that [Token] returns at the end of a prompt.
var generatedSuffix = regexp.MustCompile(`(w[0-9a-f]{5} )+$`)

// requestedTokens matches the answer length that a prompt can ask for.
var requestedTokens = regexp.MustCompile(`tokens=(\d+)`)

// readJob parses a completion request. The length of the answer is that requested in the prompt, or derived from the
// hash of the prompt.
func readJob(r *http.Request, body []byte) (job, error) {
	if !gjson.ValidBytes(body) {
		return job{}, fmt.Errorf("the request body is not valid JSON")
	}
	v := gjson.ParseBytes(body)
	j := job{
		id: r.Header.Get("X-Request-Id"), model: v.Get("model").String(),
		chat:   strings.Contains(r.URL.Path, "/chat/"),
		stream: v.Get("stream").Bool(), finalUsage: v.Get("stream_options.include_usage").Bool(),
		usageInChunks: v.Get("stream_options.continuous_usage_stats").Bool(),
		maxTokens:     int(v.Get("max_tokens").Int()), priority: int(v.Get("priority").Int()),
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
		// A prompt that ends in tokens of the fake asks to continue an answer.
		j.partial = generatedSuffix.FindString(j.prompt)
		j.prompt = strings.TrimSuffix(j.prompt, j.partial)
	}
	j.startToken = len(strings.Fields(j.partial))
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.prompt))
	j.totalTokens = 16 + int(h.Sum32()%48)
	if m := requestedTokens.FindStringSubmatch(j.prompt); m != nil {
		j.totalTokens, _ = strconv.Atoi(m[1])
	}
	if j.maxTokens > 0 && j.totalTokens > j.startToken+j.maxTokens {
		j.totalTokens = j.startToken + j.maxTokens
	}
	return j, nil
}

// Token returns the token at position i of the answer to prompt. It is deterministic, so that tests can compute the
// complete answer.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%05x ", h.Sum32()&0xfffff)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := e.Record(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.crashIfTriggered(body)
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
	if !e.acquireSlot(ctx, j.priority) {
		panic(http.ErrAbortHandler)
	}
	defer e.releaseSlot()
	e.run(ctx, w, j)
}

// crashIfTriggered crashes the engine and aborts the request if body contains the text of [Faults.CrashOn].
func (e *Engine) crashIfTriggered(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashOn == "" || !strings.Contains(string(body), e.faults.CrashOn) {
		return
	}
	e.crash(e.faults.CrashFor)
	panic(http.ErrAbortHandler)
}

// run generates the answer and aborts the connection if ctx ends.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, j job) {
	prompt := len(strings.Fields(j.prompt))
	cached := e.prefill(j, prompt)
	if !e.wait(ctx, time.Duration(prompt-cached)*e.cfg.PrefillToken) {
		panic(http.ErrAbortHandler)
	}
	e.count(j.id, TokenCount{Prompt: prompt, Cached: cached})
	c := completionWriter{w: w, job: j, promptTokens: prompt, cachedTokens: cached}
	c.writeStart()
	for i := j.startToken; i < j.totalTokens; i++ {
		if !e.wait(ctx, e.cfg.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
		if n := e.breakAfterTokens(); n > 0 && i-j.startToken >= n {
			panic(http.ErrAbortHandler)
		}
		e.count(j.id, TokenCount{Output: 1})
		if c.writeToken(Token(j.prompt, i), i-j.startToken+1) != nil {
			return
		}
	}
	c.writeEnd(j.totalTokens - j.startToken)
}

func (e *Engine) breakAfterTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.BreakAfter
}

// prefill adds the blocks of the prompt to the cache and returns how many of its words were already cached.
func (e *Engine) prefill(j job, words int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.add(j.prefix, e.cfg.CacheBlocks)
	if cached == 0 {
		return 0
	}
	return words * cached / len(j.prefix)
}

// count adds to the token counts of a request id.
func (e *Engine) count(id string, add TokenCount) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts[id]
	c.Prompt += add.Prompt
	c.Cached += add.Cached
	c.Output += add.Output
	e.counts[id] = c
}

// wait waits for d, multiplied by [Faults.SlowFactor]. It returns false if ctx ends first.
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

func (e *Engine) serveEmbeddings(w http.ResponseWriter, r *http.Request) {
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

// Crash aborts running completions and event streams, empties the cache and drops new connections until d has passed.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(d)
}

// crash is [Engine.Crash] for a caller that holds e.mu.
func (e *Engine) crash(d time.Duration) {
	e.downUntil = time.Now().Add(d)
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.cache = newCache(e.cfg.CacheBlocks)
}
