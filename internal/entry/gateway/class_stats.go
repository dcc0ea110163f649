package gateway

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"shallotramp/internal/traffic/request"
)

// ClassStats counts the requests of one class on one host since the host started.
type ClassStats struct {
	Class   string
	Offered int64
	// Whole counts requests that were completed.
	Whole int64
	// InTarget counts completed requests that met the class's latency targets.
	InTarget int64
	Refused  int64
}

// Attainment returns the share of offered requests that met the latency targets, or 1 if there were none.
func (s ClassStats) Attainment() float64 {
	if s.Offered == 0 {
		return 1
	}
	return float64(s.InTarget) / float64(s.Offered)
}

// classCounters are the counters behind [ClassStats] for one class.
type classCounters struct {
	offered, completed, inTarget, refused atomic.Int64
}

// recordCompleted counts a completed request and checks it against the latency targets of its class.
func (s *classCounters) recordCompleted(c *call, res request.Result) {
	s.completed.Add(1)
	class, ok := c.snap.Set.Classes[c.req.Class]
	if !ok {
		return
	}
	firstToken := c.response.firstToken
	if firstToken == 0 {
		firstToken = res.FirstToken
	}
	late := class.FirstToken > 0 && firstToken > time.Duration(class.FirstToken)
	tokens := c.response.tokens
	slow := class.BetweenTokens > 0 && tokens > 1 && (time.Since(c.req.Arrived)-firstToken)/time.Duration(tokens-1) > time.Duration(class.BetweenTokens)
	if !late && !slow {
		s.inTarget.Add(1)
	}
}

// classCounterMap holds the counters by class name.
type classCounterMap struct{ byClass sync.Map }

func (s *classCounterMap) get(class string) *classCounters {
	if v, ok := s.byClass.Load(class); ok {
		return v.(*classCounters)
	}
	v, _ := s.byClass.LoadOrStore(class, &classCounters{})
	return v.(*classCounters)
}

func (s *classCounterMap) list() []ClassStats {
	var out []ClassStats
	s.byClass.Range(func(k, v any) bool {
		c := v.(*classCounters)
		out = append(out, ClassStats{k.(string), c.offered.Load(), c.completed.Load(), c.inTarget.Load(), c.refused.Load()})
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Class < out[j].Class })
	return out
}
