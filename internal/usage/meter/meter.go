// Package meter counts the requests and tokens of each organisation on one host of the serve command. Package ledger
// writes the counts to the platform.
package meter

import (
	"sync"
)

// Usage is an amount of usage, in requests and tokens.
type Usage struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// Add returns the sum of u and v.
func (u Usage) Add(v Usage) Usage {
	return Usage{u.Requests + v.Requests, u.PromptTokens + v.PromptTokens, u.OutputTokens + v.OutputTokens}
}

// Meter sums usage by organisation. It is safe for concurrent use.
type Meter struct {
	mu  sync.Mutex
	sum map[string]Usage
}

// New returns a Meter without usage.
func New() *Meter { return &Meter{sum: map[string]Usage{}} }

// Count adds u to the usage of the organisation.
func (m *Meter) Count(organisation string, u Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum[organisation] = m.sum[organisation].Add(u)
}

// Sums returns the usage by organisation since the Meter was created.
func (m *Meter) Sums() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Usage, len(m.sum))
	for k, v := range m.sum {
		out[k] = v
	}
	return out
}
