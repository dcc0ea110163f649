package gateway

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"shallotramp/internal/traffic/request"
)

// ClassStats is the service that a class got on one host since it started.
type ClassStats struct {
	Class   string
	Offered int64
	Whole   int64
	// InTarget counts whole answers that met the class's latency targets.
	InTarget int64
	Refused  int64
}

// Attainment returns the share of offered requests that met their targets; 1 without any.
func (s ClassStats) Attainment() float64 {
	if s.Offered == 0 {
		return 1
	}
	return float64(s.InTarget) / float64(s.Offered)
}

// score counts for one class.
type score struct {
	offered, whole, inTarget, refused atomic.Int64
}

// completed notes a whole answer.
func (s *score) completed(c *call, res request.Result) {
	s.whole.Add(1)
	class, ok := c.snap.Set.Classes[c.req.Class]
	if !ok {
		return
	}
	first := c.answer.first
	if first == 0 {
		first = res.FirstToken
	}
	late := class.FirstToken > 0 && first > time.Duration(class.FirstToken)
	n := c.answer.tokens
	slow := class.BetweenTokens > 0 && n > 1 && (time.Since(c.req.Arrived)-first)/time.Duration(n-1) > time.Duration(class.BetweenTokens)
	if !late && !slow {
		s.inTarget.Add(1)
	}
}

// scores holds the scores by class.
type scores struct{ m sync.Map }

func (s *scores) of(class string) *score {
	if v, ok := s.m.Load(class); ok {
		return v.(*score)
	}
	v, _ := s.m.LoadOrStore(class, &score{})
	return v.(*score)
}

func (s *scores) list() []ClassStats {
	var out []ClassStats
	s.m.Range(func(k, v any) bool {
		c := v.(*score)
		out = append(out, ClassStats{k.(string), c.offered.Load(), c.whole.Load(), c.inTarget.Load(), c.refused.Load()})
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Class < out[j].Class })
	return out
}
