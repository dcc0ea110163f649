package balance

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// newestWeight is the weight of the newest value in an average.
	newestWeight = 0.1
	// rateWeight is the weight of a new measurement in a server's token rate.
	rateWeight = 0.2
	// minSpeed and maxSpeed bound a server's speed relative to its pool.
	minSpeed = 0.05
	maxSpeed = 4.0
	// probeInterval is how often a server that is too slow for a request gets one nevertheless, to measure
	// its speed again.
	probeInterval = 10 * time.Second
	// minStallTime is the shortest time without progress of any stream after which a server's speed is lowered.
	minStallTime = 2 * time.Second
	// stallTokens is the upper estimate of the tokens that a stream generated in a time without progress.
	stallTokens = 32
	// minPrefillTokens is the smallest uncached part of a prompt from which the prefill time is measured.
	minPrefillTokens = 256
	// minRateTokens is the smallest answer from which a token rate is measured.
	minRateTokens = 4
)

// average is an exponentially weighted mean that begins with the first value.
type average struct {
	value float64
	n     int
}

func (m *average) add(v float64) {
	m.n++
	if m.n == 1 {
		m.value = v
		return
	}
	m.value += newestWeight * (v - m.value)
}

// valueOr returns the mean, or def if no value was added yet.
func (m *average) valueOr(def float64) float64 {
	if m.n == 0 {
		return def
	}
	return m.value
}

// recordTokenRate updates the token rate and the speed of v by the tokens that one of its streams generated in d.
func (b *Balancer) recordTokenRate(now time.Time, v *server, tokens int, d time.Duration) {
	if v.removed || d <= 0 || tokens <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	p := v.pool
	if v.tokenRate == 0 {
		v.tokenRate = rate
		p.ratedServers++
		p.tokenRateSum += rate
	} else {
		step := rateWeight * (rate - v.tokenRate)
		v.tokenRate += step
		p.tokenRateSum += step
	}
	v.tokenRateAt = now
	v.speed = clampSpeed(v.tokenRate / p.meanTokenRate())
}

// meanTokenRate is the mean token rate of one stream over the servers whose rate was measured.
func (p *pool) meanTokenRate() float64 { return p.tokenRateSum / float64(p.ratedServers) }

func clampSpeed(speed float64) float64 { return min(maxSpeed, max(minSpeed, speed)) }

// detectStall lowers the speed of a server whose streams make no progress any more. It needs a stream that has
// generated tokens: a server may also be silent because it reads a long prompt, or because its answers are
// shorter than the number of tokens between two reports of progress.
func (b *Balancer) detectStall(now time.Time, v *server) {
	p := v.pool
	if silent := now.Sub(v.lastProgress); v.generating > 0 && silent > minStallTime && p.ratedServers > 1 {
		v.speed = min(v.speed, clampSpeed(stallTokens/silent.Seconds()/p.meanTokenRate()))
	}
}

// recordCompletion updates the measurements of the pool and the server by a completed attempt.
func (b *Balancer) recordCompletion(now time.Time, a *attempt, res request.Result) {
	if res.Outcome != request.Completed || a.server.removed {
		return
	}
	p := a.server.pool
	elapsed := now.Sub(a.started)
	first := a.arrived.Add(res.FirstToken).Sub(a.started)
	decode := elapsed
	if a.streaming && first > 0 && first < elapsed {
		decode = elapsed - first
		if uncached := res.PromptTokens - res.CachedTokens; uncached >= minPrefillTokens {
			p.prefillSecondsPerToken.add(first.Seconds() / float64(uncached))
		}
	}
	p.decodeSeconds.add(decode.Seconds())
	if res.OutputTokens < minRateTokens {
		return
	}
	p.outputTokens.add(float64(res.OutputTokens))
	// The first token belongs to the prefill.
	b.recordTokenRate(now, a.server, res.OutputTokens-1, decode)
}
