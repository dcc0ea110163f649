package fake

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// answer writes one completion in the form that the caller asked for.
type answer struct {
	w      http.ResponseWriter
	j      job
	prompt int
	cached int
	text   strings.Builder
}

func (a *answer) object(suffix string) string {
	if a.j.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (a *answer) usage(output int) string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		a.prompt, output, a.prompt+output, a.cached)
}

func (a *answer) begin() {
	if !a.j.stream {
		return
	}
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	if a.j.chat {
		_ = a.chunk(`{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`, a.optionalUsage(0))
	}
}

func (a *answer) optionalUsage(output int) string {
	if !a.j.eachUsage {
		return ""
	}
	return `,"usage":` + a.usage(output)
}

func (a *answer) chunk(choices, usage string) error {
	_, err := fmt.Fprintf(a.w, "data: {\"id\":\"cmpl-%s\",\"object\":%q,\"created\":1,\"model\":%q,\"choices\":[%s]%s}\n\n",
		a.j.id, a.object(".chunk"), a.j.model, choices, usage)
	if err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answer) token(text string, n int) error {
	if !a.j.stream {
		a.text.WriteString(text)
		return nil
	}
	q, _ := json.Marshal(text)
	if a.j.chat {
		return a.chunk(fmt.Sprintf(`{"index":0,"delta":{"content":%s},"finish_reason":null}`, q), a.optionalUsage(n))
	}
	return a.chunk(fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":null}`, q), a.optionalUsage(n))
}

func (a *answer) end(n int) {
	if a.j.stream {
		a.endStream(n)
		return
	}
	q, _ := json.Marshal(a.text.String())
	choice := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":"stop"}`, q)
	if a.j.chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}`, q)
	}
	a.w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(a.w, `{"id":"cmpl-%s","object":%q,"created":1,"model":%q,"choices":[%s],"usage":%s}`,
		a.j.id, a.object(""), a.j.model, choice, a.usage(n))
}

func (a *answer) endStream(n int) {
	last := `{"index":0,"text":"","finish_reason":"stop"}`
	if a.j.chat {
		last = `{"index":0,"delta":{},"finish_reason":"stop"}`
	}
	_ = a.chunk(last, a.optionalUsage(n))
	if a.j.usage {
		_ = a.chunk("", `,"usage":`+a.usage(n))
	}
	fmt.Fprint(a.w, "data: [DONE]\n\n")
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority, order int
	ready           chan struct{}
}

// waitList orders waiters by priority, then by arrival. It implements [heap.Interface].
type waitList struct {
	list  []*waiter
	count int
}

func (l *waitList) Len() int      { return len(l.list) }
func (l *waitList) Swap(i, j int) { l.list[i], l.list[j] = l.list[j], l.list[i] }

// Push implements [heap.Interface].
func (l *waitList) Push(x any) { l.list = append(l.list, x.(*waiter)) }

func (l *waitList) Less(i, j int) bool {
	a, b := l.list[i], l.list[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.order < b.order
}

// Pop implements [heap.Interface].
func (l *waitList) Pop() any {
	w := l.list[len(l.list)-1]
	l.list = l.list[:len(l.list)-1]
	return w
}

// acquire waits for a slot. It returns false when ctx ends first.
func (e *Engine) acquire(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Slots {
		e.running++
		e.sampled()
		e.mu.Unlock()
		return true
	}
	e.waiting.count++
	w := &waiter{priority: priority, order: e.waiting.count, ready: make(chan struct{})}
	heap.Push(&e.waiting, w)
	e.sampled()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting.list {
		if other == w {
			heap.Remove(&e.waiting, i)
			e.sampled()
			return false
		}
	}
	// The slot was handed over at the same moment.
	e.handOver()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handOver()
}

// handOver passes a slot to the next waiter. The caller holds e.mu.
func (e *Engine) handOver() {
	defer e.sampled()
	if e.waiting.Len() == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.waiting).(*waiter).ready)
}
