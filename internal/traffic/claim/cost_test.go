package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"shallotramp/internal/traffic/request"
)

// The durations of the cost model. modelLatency is that of one direction to or from the platform's store,
// modelServiceTime that of the backend server.
const (
	modelLatency     = 3 * time.Millisecond
	modelJitter      = 2 * time.Millisecond
	modelServiceTime = 100 * time.Millisecond
	modelDuration    = 20 * time.Second
	// modelQueueTime is the time between the lookup and the claim.
	modelQueueTime = 20 * time.Millisecond
)

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// modelHeap orders events by time. It implements [heap.Interface].
type modelHeap []modelEvent

func (h modelHeap) Len() int      { return len(h) }
func (h modelHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h modelHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Push implements [heap.Interface].
func (h *modelHeap) Push(x any) { *h = append(*h, x.(modelEvent)) }

// Pop implements [heap.Interface].
func (h *modelHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// costModel simulates hosts that claim calls without faults, and counts their reads and writes.
type costModel struct {
	rng                      *rand.Rand
	now                      time.Duration
	events                   modelHeap
	eventCount               int
	cores                    []*Core
	tickCounts               []int
	shards                   map[int]Effect
	reads, writes, conflicts int
	bytes                    int
	claimedAt                map[request.ID]time.Duration
	claimDelays              []time.Duration
}

func (m *costModel) after(d time.Duration, run func()) {
	m.eventCount++
	heap.Push(&m.events, modelEvent{m.now + d, m.eventCount, run})
}

func (m *costModel) randomLatency() time.Duration {
	return modelLatency + time.Duration(m.rng.Int64N(int64(modelJitter)))
}

func (m *costModel) step(host int, f func(time.Time) []Effect) {
	for _, e := range f(timeAt(m.now)) {
		m.execute(host, e)
	}
	if next := m.cores[host].NextTick(); !next.IsZero() {
		m.tickCounts[host]++
		n := m.tickCounts[host]
		m.after(max(0, next.Sub(timeAt(m.now))), func() {
			if n == m.tickCounts[host] {
				m.step(host, m.cores[host].Tick)
			}
		})
	}
}

func (m *costModel) execute(host int, e Effect) {
	c := m.cores[host]
	switch e.Kind {
	case ReadShard:
		m.after(m.randomLatency(), func() {
			m.reads++
			s := m.shards[e.Shard]
			m.after(m.randomLatency(), func() {
				m.step(host, func(now time.Time) []Effect { return c.ReadDone(now, e.Shard, s.Content, s.Version, true) })
			})
		})
	case WriteShard:
		m.after(m.randomLatency(), func() { m.write(host, e) })
	case Proceed:
		m.after(modelQueueTime, func() {
			m.claimedAt[e.ID] = m.now
			m.step(host, func(now time.Time) []Effect { return c.Claim(now, e.ID) })
		})
	case SendCall:
		m.claimDelays = append(m.claimDelays, m.now-m.claimedAt[e.ID])
		m.after(modelServiceTime, func() {
			r := Result{Kind: ServerAnswered, Reply: Reply{Status: 201, Body: make([]byte, 120)}}
			m.step(host, func(now time.Time) []Effect { return c.Finish(now, e.ID, r) })
		})
	}
}

func (m *costModel) write(host int, e Effect) {
	m.writes++
	o, version := Overtaken, ""
	if m.shards[e.Shard].Version == e.Version {
		o, version = Written, strconv.Itoa(m.writes)
		m.bytes += e.Content.size()
		m.shards[e.Shard] = Effect{Content: e.Content, Version: version}
	} else {
		m.conflicts++
	}
	m.after(m.randomLatency(), func() {
		m.step(host, func(now time.Time) []Effect { return m.cores[host].WriteDone(now, e.Shard, o, version) })
	})
}

// run starts calls at the mean rate per second on random hosts, and returns their number.
func (m *costModel) run(rate float64, hosts int, cfg Config) int {
	for i := range hosts {
		m.cores = append(m.cores, NewCore(cfg, fmt.Sprint(i), rand.New(rand.NewPCG(uint64(i), 3))))
		m.tickCounts = append(m.tickCounts, 0)
	}
	calls := 0
	for at := 0.0; at < modelDuration.Seconds(); at += m.rng.ExpFloat64() / rate {
		calls++
		id, host := request.ID(strconv.Itoa(calls)), m.rng.IntN(hosts)
		m.after(time.Duration(at*float64(time.Second)), func() {
			r := Request{ID: id, Key: KeyOf("org", "bookings", string(id)), Fingerprint: "a", Deadline: timeAt(m.now + time.Minute)}
			m.step(host, func(now time.Time) []Effect { return m.cores[host].Begin(now, r) })
		})
	}
	for m.events.Len() > 0 && m.now < modelDuration+20*time.Second {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	return calls
}

// BenchmarkCost reports the reads and writes per booking, and the delay that a claim adds before the call is sent.
func BenchmarkCost(b *testing.B) {
	const oneObjectPerClaim = 1 << 40
	for _, hosts := range []int{7, 360} {
		for _, rate := range []float64{20, 75, 180} {
			for _, shards := range []int{oneObjectPerClaim, DefaultConfig().Shards, 64, 16} {
				for _, gather := range []time.Duration{0, 100 * time.Millisecond} {
					if gather > 0 && shards > 64 {
						continue
					}
					name := fmt.Sprintf("hosts=%d/rate=%.0f/shards=%d/gather=%v", hosts, rate, shards, gather)
					b.Run(name, func(b *testing.B) { benchmarkCost(b, hosts, rate, shards, gather) })
				}
			}
		}
	}
}

func benchmarkCost(b *testing.B, hosts int, rate float64, shards int, gather time.Duration) {
	cfg := DefaultConfig()
	cfg.Shards, cfg.BatchDelay = shards, gather
	for b.Loop() {
		m := &costModel{
			rng: rand.New(rand.NewPCG(5, 5)), shards: map[int]Effect{}, claimedAt: map[request.ID]time.Duration{},
		}
		calls := float64(m.run(rate, hosts, cfg))
		slices.Sort(m.claimDelays)
		if len(m.claimDelays) < int(calls) {
			b.Fatalf("%d of %.0f calls were claimed", len(m.claimDelays), calls)
		}
		ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
		b.ReportMetric(float64(m.reads)/calls, "reads/booking")
		b.ReportMetric(float64(m.writes)/calls, "writes/booking")
		b.ReportMetric(float64(m.conflicts)/calls, "conflicts/booking")
		b.ReportMetric(float64(m.writes)/modelDuration.Seconds(), "writes/s")
		b.ReportMetric(float64(m.bytes)/calls, "B/booking")
		b.ReportMetric(ms(m.claimDelays[len(m.claimDelays)/2]), "p50-ms")
		b.ReportMetric(ms(m.claimDelays[len(m.claimDelays)*99/100]), "p99-ms")
	}
}
