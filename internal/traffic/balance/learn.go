package balance

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// meanWeight is how much a new measurement counts in a running mean.
	meanWeight = 0.1
	// rateWeight is how much a new measurement counts in a server's token rate.
	rateWeight = 0.2
	// minSpeed and maxSpeed bound a learned relative speed.
	minSpeed = 0.05
	maxSpeed = 4.0
	// probeInterval is how often a server that is too slow for a request gets one all the same, to be measured.
	probeInterval = 10 * time.Second
	// stallTime is the shortest silence of all streams of a server that tells of its speed.
	stallTime = 2 * time.Second
	// stallTokens is what a stream should have generated in a silence.
	stallTokens = 32
	// minPrefillTokens is the smallest prompt by which prefill is measured.
	minPrefillTokens = 256
	// minRateTokens is the smallest answer by which a rate is measured.
	minRateTokens = 4
)

// mean is an exponentially weighted running mean.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(v float64) {
	m.n++
	if m.n == 1 {
		m.value = v
		return
	}
	m.value += meanWeight * (v - m.value)
}

// or returns the mean, or def before the first value.
func (m *mean) or(def float64) float64 {
	if m.n == 0 {
		return def
	}
	return m.value
}

// learn takes a measured token rate of one stream of v.
func (b *Balancer) learn(now time.Time, v *server, tokens int, d time.Duration) {
	if v.removed || d <= 0 || tokens <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	p := v.pool
	if v.rate == 0 {
		v.rate = rate
		p.rated++
		p.rate += rate
	} else {
		step := rateWeight * (rate - v.rate)
		v.rate += step
		p.rate += step
	}
	v.rateAt = now
	v.speed = clamp(v.rate / p.usualRate())
}

// usualRate is the mean token rate of a stream over the pool's rated servers.
func (p *pool) usualRate() float64 { return p.rate / float64(p.rated) }

func clamp(speed float64) float64 { return min(maxSpeed, max(minSpeed, speed)) }

// stall lowers the speed of a server whose streams went silent after they had generated tokens: one that
// reads a long prompt, or gives answers shorter than a report of tokens, is not meant.
func (b *Balancer) stall(now time.Time, v *server) {
	p := v.pool
	if silent := now.Sub(v.progress); v.streams > 0 && silent > stallTime && p.rated > 1 {
		v.speed = min(v.speed, clamp(stallTokens/silent.Seconds()/p.usualRate()))
	}
}

// measure learns from a finished attempt.
func (b *Balancer) measure(now time.Time, n *run, res request.Result) {
	if res.Outcome != request.Completed || n.server.removed {
		return
	}
	p := n.server.pool
	elapsed := now.Sub(n.started)
	first := n.arrived.Add(res.FirstToken).Sub(n.started)
	decode := elapsed
	if n.stream && first > 0 && first < elapsed {
		decode = elapsed - first
		if uncached := res.PromptTokens - res.CachedTokens; uncached >= minPrefillTokens {
			p.prefill.add(first.Seconds() / float64(uncached))
		}
	}
	p.service.add(decode.Seconds())
	if res.OutputTokens < minRateTokens {
		return
	}
	p.tokenOut.add(float64(res.OutputTokens))
	// The first token ends the prefill.
	b.learn(now, n.server, res.OutputTokens-1, decode)
}
