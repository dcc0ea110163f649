// Package explain keeps the decisions taken for recent requests, in bounded
// memory and without any content of the request.
package explain

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"shallotramp/internal/traffic/request"
)

const (
	// requestsKept bounds the requests that are remembered.
	requestsKept = 20000
	// stepsKept bounds the steps of one request.
	stepsKept = 32
)

// Step is one decision.
type Step struct {
	At     time.Time
	What   string
	Detail string
}

// Explanation is what was decided for one request.
type Explanation struct {
	ID           request.ID
	Organisation string
	Class        string
	Route        string
	Steps        []Step
}

// DecisionLog remembers the stories of recent requests. It is safe for concurrent use.
type DecisionLog struct {
	mu      sync.Mutex
	stories *lru.Cache[request.ID, *Explanation]
}

// NewDecisionLog returns an empty Book.
func NewDecisionLog() *DecisionLog {
	c, err := lru.New[request.ID, *Explanation](requestsKept)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &DecisionLog{stories: c}
}

// Begin starts the story of a request.
func (b *DecisionLog) Begin(r *request.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stories.Add(r.ID, &Explanation{ID: r.ID, Organisation: r.Organisation, Class: r.Class, Route: r.Route})
}

// Note adds a step to the story of a request, unless the story is full or forgotten.
func (b *DecisionLog) Note(id request.ID, at time.Time, what, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.stories.Peek(id); ok && len(s.Steps) < stepsKept {
		s.Steps = append(s.Steps, Step{at, what, detail})
	}
}

// Find returns the story of a request.
func (b *DecisionLog) Find(id request.ID) (Explanation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.stories.Get(id)
	if !ok {
		return Explanation{}, false
	}
	out := *s
	out.Steps = append([]Step(nil), s.Steps...)
	return out, true
}
