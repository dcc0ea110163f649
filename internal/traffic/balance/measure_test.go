package balance

import (
	"fmt"
	"testing"
	"time"
)

// scenarios are the conditions under which the balancer is compared with round robin.
var scenarios = map[string]simConfig{
	"no faults": {load: 0.8},
	"reports 5 s old, one server slowed fivefold, 20% of cache events lost":                      {load: 0.8, slowServer: true, reportAge: 5 * time.Second, eventLoss: 0.2, sharedPrefixes: 0.2},
	"reports 5 s old, one server slowed fivefold, 20% of cache events lost, a crash each minute": {load: 0.8, slowServer: true, crashes: true, reportAge: 5 * time.Second, eventLoss: 0.2, sharedPrefixes: 0.2},
	"20% of prompts share a prefix": {load: 0.8, sharedPrefixes: 0.2, eventLoss: 0.2},
	"reports 5 s old, one server slowed fivefold, 20% of cache events lost, a crash each minute, full load": {load: 1, slowServer: true, crashes: true, reportAge: 5 * time.Second, eventLoss: 0.2, sharedPrefixes: 0.2},
}

// atCurrentSize sets the size of the fleet in use, the duration, the seed and what the hosts choose with.
func (c simConfig) atCurrentSize(seed uint64, useBalancer bool) simConfig {
	c.servers, c.hosts, c.zones, c.duration = 10, 6, 3, 3*time.Minute
	c.seed, c.useBalancer = seed, useBalancer
	return c
}

// BenchmarkChoice measures waiting times, wasted work and cache use in each scenario, with the balancer and with round
// robin.
func BenchmarkChoice(b *testing.B) {
	for name, cfg := range scenarios {
		for chooser, useBalancer := range map[string]bool{"ours": true, "round robin": false} {
			b.Run(name+"/"+chooser, func(b *testing.B) {
				var all simResult
				for i := range b.N {
					all.add(runSim(cfg.atCurrentSize(uint64(i), useBalancer)))
				}
				b.ReportMetric(all.waitQuantile(0.5), "wait-p50-s")
				b.ReportMetric(all.waitQuantile(0.99), "wait-p99-s")
				b.ReportMetric(100*float64(all.wastedTokens)/float64(all.outputTokens), "wasted-%")
				b.ReportMetric(100*float64(all.cachedTokens)/float64(all.promptTokens), "cached-%")
				b.ReportMetric(100*float64(all.lost)/float64(all.completed+all.lost), "lost-%")
				b.ReportMetric(100*float64(all.sentToFull)/float64(all.sent), "overfull-%")
			})
		}
	}
}

// BenchmarkHedging measures whether it pays to start a second attempt when the first has generated no token for a while.
func BenchmarkHedging(b *testing.B) {
	base := scenarios["reports 5 s old, one server slowed fivefold, 20% of cache events lost, a crash each minute"]
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			b.Run(fmt.Sprintf("load=%v/after=%v", load, after), func(b *testing.B) {
				cfg := base
				cfg.hedgeAfter, cfg.load = after, load
				var all simResult
				for i := range b.N {
					all.add(runSim(cfg.atCurrentSize(uint64(i), true)))
				}
				b.ReportMetric(all.waitQuantile(0.99), "wait-p99-s")
				b.ReportMetric(all.waitQuantile(0.999), "wait-p999-s")
				b.ReportMetric(100*float64(all.lost)/float64(all.completed+all.lost), "lost-%")
				b.ReportMetric(100*float64(all.hedged)/float64(all.completed+all.lost), "hedged-%")
				b.ReportMetric(100*float64(all.hedgePrefillTokens)/float64(all.promptTokens), "prompt-reread-%")
			})
		}
	}
}

func (r *simResult) add(o *simResult) {
	r.waits = append(r.waits, o.waits...)
	r.completed += o.completed
	r.lost += o.lost
	r.outputTokens += o.outputTokens
	r.wastedTokens += o.wastedTokens
	r.promptTokens += o.promptTokens
	r.cachedTokens += o.cachedTokens
	r.sentToFull += o.sentToFull
	r.sent += o.sent
	r.hedged += o.hedged
	r.hedgePrefillTokens += o.hedgePrefillTokens
	r.maxEngineQueue = max(r.maxEngineQueue, o.maxEngineQueue)
}

// testDuration is the virtual time of a run in tests. It includes one crash.
const testDuration = 75 * time.Second

// TestChoiceAgainstRoundRobin checks that the balancer is no worse than round robin at overfilling servers, losing
// requests and using caches. The margins are wide enough not to depend on the seed.
func TestChoiceAgainstRoundRobin(t *testing.T) {
	for name, cfg := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			balancerCfg, roundRobinCfg := cfg.atCurrentSize(1, true), cfg.atCurrentSize(1, false)
			balancerCfg.duration, roundRobinCfg.duration = testDuration, testDuration
			balanced, baseline := runSim(balancerCfg), runSim(roundRobinCfg)
			if balanced.sentToFull*baseline.sent > baseline.sentToFull*balanced.sent {
				t.Errorf("%d of %d requests placed on full servers, with round robin %d of %d", balanced.sentToFull, balanced.sent, baseline.sentToFull, baseline.sent)
			}
			if balanced.lost > baseline.lost {
				t.Errorf("%d requests lost, with round robin %d", balanced.lost, baseline.lost)
			}
			// At full load there is seldom more than one server with room, so that the cached prefix does not matter.
			if cfg.load < 1 && balanced.cachedTokens*baseline.promptTokens < baseline.cachedTokens*balanced.promptTokens {
				t.Errorf("%d of %d prompt tokens cached, with round robin %d of %d", balanced.cachedTokens, balanced.promptTokens, baseline.cachedTokens, baseline.promptTokens)
			}
		})
	}
}

// TestHostsShareServers offers 1.5 times what the servers can do, and checks that hosts which do not know of each other's
// latest requests neither overfill servers nor leave them idle.
func TestHostsShareServers(t *testing.T) {
	tests := map[string]int{"one host fills servers but overfills none": 1, "several hosts seldom overfill a server": 6}
	for name, hosts := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := simConfig{load: 1.5}.atCurrentSize(1, true)
			cfg.hosts, cfg.zones, cfg.duration = hosts, 1, time.Minute
			r := runSim(cfg)
			want := 0
			if hosts > 1 {
				want = r.sent / 10
			}
			if r.sentToFull > want {
				t.Errorf("%d of %d requests were sent to a full server", r.sentToFull, r.sent)
			}
			if busy := float64(r.outputTokens) * simTokenInterval.Seconds(); busy < 0.8*simSlots*float64(cfg.servers)*cfg.duration.Seconds() {
				t.Errorf("the slots of all servers together generated tokens for only %.0f s", busy)
			}
		})
	}
}

// TestServersAreKeptBusy offers 1.5 times what the servers can do, and compares the number of generated tokens with that
// of round robin, which overfills all servers and so leaves none idle.
func TestServersAreKeptBusy(t *testing.T) {
	tests := map[string]simConfig{
		"one host, long answers":       {hosts: 1},
		"one host, short answers":      {hosts: 1, meanOutput: 20},
		"several hosts, long answers":  {hosts: 6},
		"several hosts, short answers": {hosts: 6, meanOutput: 20},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(useBalancer bool) *simResult {
				cfg := tc
				cfg.load, cfg.servers, cfg.zones, cfg.duration, cfg.seed, cfg.useBalancer = 1.5, 10, 2, 30*time.Second, 1, useBalancer
				return runSim(cfg)
			}
			if balanced, baseline := run(true), run(false); float64(balanced.outputTokens) < 0.9*float64(baseline.outputTokens) {
				t.Errorf("%d tokens generated, with round robin %d", balanced.outputTokens, baseline.outputTokens)
			}
		})
	}
}
