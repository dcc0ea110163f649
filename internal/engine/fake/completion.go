package fake

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// completionWriter writes one completion as a single JSON object or as a stream of chunks, as the request asks.
type completionWriter struct {
	w            http.ResponseWriter
	job          job
	promptTokens int
	cachedTokens int
	// text collects the tokens of a completion that is not streamed.
	text strings.Builder
}

func (c *completionWriter) objectType(suffix string) string {
	if c.job.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

// usageJSON returns the usage object after the given number of output tokens.
func (c *completionWriter) usageJSON(output int) string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		c.promptTokens, output, c.promptTokens+output, c.cachedTokens)
}

func (c *completionWriter) writeStart() {
	if !c.job.stream {
		return
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	if c.job.chat {
		_ = c.writeChunk(`{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`, c.chunkUsage(0))
	}
}

// chunkUsage returns the usage field of a chunk, empty unless the request asks for usage in each chunk.
func (c *completionWriter) chunkUsage(output int) string {
	if !c.job.usageInChunks {
		return ""
	}
	return `,"usage":` + c.usageJSON(output)
}

func (c *completionWriter) writeChunk(choices, usage string) error {
	_, err := fmt.Fprintf(c.w, "data: {\"id\":\"cmpl-%s\",\"object\":%q,\"created\":1,\"model\":%q,\"choices\":[%s]%s}\n\n",
		c.job.id, c.objectType(".chunk"), c.job.model, choices, usage)
	if err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// writeToken writes the n-th token of the response.
func (c *completionWriter) writeToken(text string, n int) error {
	if !c.job.stream {
		c.text.WriteString(text)
		return nil
	}
	q, _ := json.Marshal(text)
	if c.job.chat {
		return c.writeChunk(fmt.Sprintf(`{"index":0,"delta":{"content":%s},"finish_reason":null}`, q), c.chunkUsage(n))
	}
	return c.writeChunk(fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":null}`, q), c.chunkUsage(n))
}

// writeEnd writes the end of a response of n tokens.
func (c *completionWriter) writeEnd(n int) {
	if c.job.stream {
		c.writeStreamEnd(n)
		return
	}
	q, _ := json.Marshal(c.text.String())
	choice := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":"stop"}`, q)
	if c.job.chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}`, q)
	}
	c.w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(c.w, `{"id":"cmpl-%s","object":%q,"created":1,"model":%q,"choices":[%s],"usage":%s}`,
		c.job.id, c.objectType(""), c.job.model, choice, c.usageJSON(n))
}

func (c *completionWriter) writeStreamEnd(n int) {
	last := `{"index":0,"text":"","finish_reason":"stop"}`
	if c.job.chat {
		last = `{"index":0,"delta":{},"finish_reason":"stop"}`
	}
	_ = c.writeChunk(last, c.chunkUsage(n))
	if c.job.finalUsage {
		_ = c.writeChunk("", `,"usage":`+c.usageJSON(n))
	}
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority, arrival int
	// ready is closed when the waiter gets a slot.
	ready chan struct{}
}

// waitQueue orders waiters by priority, the lowest number first, and then by arrival. It implements [heap.Interface].
type waitQueue struct {
	waiters  []*waiter
	arrivals int
}

func (q *waitQueue) Len() int      { return len(q.waiters) }
func (q *waitQueue) Swap(i, j int) { q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i] }

// Push implements [heap.Interface].
func (q *waitQueue) Push(x any) { q.waiters = append(q.waiters, x.(*waiter)) }

func (q *waitQueue) Less(i, j int) bool {
	a, b := q.waiters[i], q.waiters[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}

// Pop implements [heap.Interface].
func (q *waitQueue) Pop() any {
	w := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	return w
}

// acquireSlot waits for a slot. It returns false if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	e.waiting.arrivals++
	w := &waiter{priority: priority, arrival: e.waiting.arrivals, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting.waiters {
		if other == w {
			heap.Remove(&e.waiting, i)
			e.recordLoad()
			return false
		}
	}
	// The waiter got its slot at the moment that ctx ended.
	e.releaseSlotLocked()
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

// releaseSlotLocked passes the slot to the next waiter, or frees it if none waits. The caller holds e.mu.
func (e *Engine) releaseSlotLocked() {
	defer e.recordLoad()
	if e.waiting.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.waiting).(*waiter).ready)
}
