// Package decisionlog records the decisions made for recent requests, in bounded
// memory and without any content of the requests.
package decisionlog

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"shallotramp/internal/traffic/request"
)

const (
	// maxRequests limits the requests that a [DecisionLog] keeps.
	maxRequests = 20000
	// maxSteps limits the steps recorded for one request.
	maxSteps = 32
)

// Step is one decision or event in the processing of a request.
type Step struct {
	At     time.Time
	What   string
	Detail string
}

// Explanation lists the decisions made for one request, in order.
type Explanation struct {
	ID           request.ID
	Organisation string
	Class        string
	Route        string
	Steps        []Step
}

// DecisionLog keeps the explanations of recent requests. It is safe for concurrent use.
type DecisionLog struct {
	mu           sync.Mutex
	explanations *lru.Cache[request.ID, *Explanation]
}

// NewDecisionLog returns an empty DecisionLog.
func NewDecisionLog() *DecisionLog {
	c, err := lru.New[request.ID, *Explanation](maxRequests)
	if err != nil {
		panic(err) // New fails only for a size below 1.
	}
	return &DecisionLog{explanations: c}
}

// Begin adds a request with no steps. The least recently used request is evicted if the log is full.
func (l *DecisionLog) Begin(r *request.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.explanations.Add(r.ID, &Explanation{ID: r.ID, Organisation: r.Organisation, Class: r.Class, Route: r.Route})
}

// AddStep adds a step to the explanation of a request. It does nothing if the explanation has maxSteps steps or was
// evicted.
func (l *DecisionLog) AddStep(id request.ID, at time.Time, what, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x, ok := l.explanations.Peek(id); ok && len(x.Steps) < maxSteps {
		x.Steps = append(x.Steps, Step{at, what, detail})
	}
}

// Find returns a copy of the explanation of a request, and false if the log does not have it.
func (l *DecisionLog) Find(id request.ID) (Explanation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x, ok := l.explanations.Get(id)
	if !ok {
		return Explanation{}, false
	}
	out := *x
	out.Steps = append([]Step(nil), x.Steps...)
	return out, true
}
