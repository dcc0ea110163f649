package balance

import (
	"fmt"
	"testing"
	"time"
)

// scenarios are the conditions that choices are measured under, at Threadwell's size of today.
var scenarios = map[string]simConfig{
	"fair weather": {load: 0.8},
	"reports 5 s old, one server slowed fivefold, 20% gaps": {load: 0.8, slow: true, reportAge: 5 * time.Second, gaps: 0.2, shared: 0.2},
	"the same with a crash each minute":                     {load: 0.8, slow: true, crash: true, reportAge: 5 * time.Second, gaps: 0.2, shared: 0.2},
	"20% of prompts share a prefix":                         {load: 0.8, shared: 0.2, gaps: 0.2},
	"the same at full load":                                 {load: 1, slow: true, crash: true, reportAge: 5 * time.Second, gaps: 0.2, shared: 0.2},
}

func (c simConfig) today(seed uint64, ours bool) simConfig {
	c.servers, c.hosts, c.zones, c.length = 10, 6, 3, 3*time.Minute
	c.seed, c.ours = seed, ours
	return c
}

func BenchmarkChoice(b *testing.B) {
	for name, cfg := range scenarios {
		for who, ours := range map[string]bool{"ours": true, "round robin": false} {
			b.Run(name+"/"+who, func(b *testing.B) {
				var all simResult
				for i := range b.N {
					all.add(runSim(cfg.today(uint64(i), ours)))
				}
				b.ReportMetric(all.wait(0.5), "wait-p50-s")
				b.ReportMetric(all.wait(0.99), "wait-p99-s")
				b.ReportMetric(100*float64(all.wasted)/float64(all.tokens), "wasted-%")
				b.ReportMetric(100*float64(all.cached)/float64(all.prompt), "cached-%")
				b.ReportMetric(100*float64(all.lost)/float64(all.done+all.lost), "lost-%")
				b.ReportMetric(100*float64(all.overfull)/float64(all.placed), "overfull-%")
			})
		}
	}
}

// BenchmarkHedging measures whether a second attempt pays that begins when the first has given no token for a while.
func BenchmarkHedging(b *testing.B) {
	base := scenarios["the same with a crash each minute"]
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			b.Run(fmt.Sprintf("load=%v/after=%v", load, after), func(b *testing.B) {
				cfg := base
				cfg.hedge, cfg.load = after, load
				var all simResult
				for i := range b.N {
					all.add(runSim(cfg.today(uint64(i), true)))
				}
				b.ReportMetric(all.wait(0.99), "wait-p99-s")
				b.ReportMetric(all.wait(0.999), "wait-p999-s")
				b.ReportMetric(100*float64(all.lost)/float64(all.done+all.lost), "lost-%")
				b.ReportMetric(100*float64(all.hedged)/float64(all.done+all.lost), "hedged-%")
				b.ReportMetric(100*float64(all.rereadTokens)/float64(all.prompt), "prompt-reread-%")
			})
		}
	}
}

func (r *simResult) add(o *simResult) {
	r.waits = append(r.waits, o.waits...)
	r.done += o.done
	r.lost += o.lost
	r.tokens += o.tokens
	r.wasted += o.wasted
	r.prompt += o.prompt
	r.cached += o.cached
	r.overfull += o.overfull
	r.placed += o.placed
	r.hedged += o.hedged
	r.rereadTokens += o.rereadTokens
	r.mostOver = max(r.mostOver, o.mostOver)
}

// testLength is the virtual time of a run in tests; one crash falls into it.
const testLength = 75 * time.Second

// TestChoiceAgainstRoundRobin holds what the package is for, with a margin that does not depend on the seeds.
func TestChoiceAgainstRoundRobin(t *testing.T) {
	for name, cfg := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := cfg.today(1, true), cfg.today(1, false)
			a.length, b.length = testLength, testLength
			ours, theirs := runSim(a), runSim(b)
			if ours.overfull*theirs.placed > theirs.overfull*ours.placed {
				t.Errorf("%d of %d placed on full servers, round robin %d of %d", ours.overfull, ours.placed, theirs.overfull, theirs.placed)
			}
			if ours.lost > theirs.lost {
				t.Errorf("%d requests lost, round robin %d", ours.lost, theirs.lost)
			}
			// At full load there is no choice left, so that the prefix decides nothing.
			if cfg.load < 1 && ours.cached*theirs.prompt < theirs.cached*ours.prompt {
				t.Errorf("cached %d of %d, round robin %d of %d", ours.cached, ours.prompt, theirs.cached, theirs.prompt)
			}
		})
	}
}

// TestHostsShareServers lets hosts offer more than the servers can do.
func TestHostsShareServers(t *testing.T) {
	tests := map[string]int{"a host alone may fill a server": 1, "several hosts hardly overfill one": 6}
	for name, hosts := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := simConfig{load: 1.5}.today(1, true)
			cfg.hosts, cfg.zones, cfg.length = hosts, 1, time.Minute
			r := runSim(cfg)
			want := 0
			if hosts > 1 {
				want = r.placed / 10
			}
			if r.overfull > want {
				t.Errorf("%d of %d requests met a full server", r.overfull, r.placed)
			}
			if busy := float64(r.tokens) * simInterval.Seconds(); busy < 0.8*simSlots*float64(cfg.servers)*cfg.length.Seconds() {
				t.Errorf("servers were busy generating for %.0f s", busy)
			}
		})
	}
}

// TestServersAreKeptBusy offers more than the servers can do, and compares the tokens with those of round
// robin, which overfills all servers and so leaves none idle.
func TestServersAreKeptBusy(t *testing.T) {
	tests := map[string]simConfig{
		"one host, long answers":       {hosts: 1},
		"one host, short answers":      {hosts: 1, output: 20},
		"several hosts, long answers":  {hosts: 6},
		"several hosts, short answers": {hosts: 6, output: 20},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(ours bool) *simResult {
				cfg := tc
				cfg.load, cfg.servers, cfg.zones, cfg.length, cfg.seed, cfg.ours = 1.5, 10, 2, 30*time.Second, 1, ours
				return runSim(cfg)
			}
			if ours, full := run(true), run(false); float64(ours.tokens) < 0.9*float64(full.tokens) {
				t.Errorf("%d tokens of %d", ours.tokens, full.tokens)
			}
		})
	}
}
