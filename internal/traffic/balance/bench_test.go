package balance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// fleetSize is a size of the fleet for which the benchmarks run.
type fleetSize struct{ servers, zones, organisations, hosts int }

var fleetSizes = []fleetSize{{12, 4, 10, 7}, {120, 8, 150, 40}, {1100, 16, 1400, 360}}

// newBenchBalancer returns a balancer for a fleet of a size, which has load reports of all servers and the outstanding
// requests of the other hosts in its zone. It also returns requests with a prefix for each organisation.
func newBenchBalancer(size fleetSize) (*Balancer, []*request.Request) {
	zones := make([]string, size.zones)
	for i := range zones {
		zones[i] = string(rune('a' + i))
	}
	set := newSet(size.servers, 16, zones...)
	for i := range size.organisations {
		name := fmt.Sprintf("o%04d", i)
		set.Organisations[name] = &object.OrganisationSpec{Name: name}
	}
	b := newBalancer(1, set)
	for i := range size.servers {
		b.Report(start, dispatch.Load{Server: fmt.Sprintf("s%04d", i), At: start, Running: 6 + i%8, Loaded: []string{"m"}})
	}
	for i := range size.hosts / size.zones {
		out := map[string]int{}
		for k := 0; k < size.servers; k += size.zones {
			out[fmt.Sprintf("s%04d", k)] = (k + i) % 2
		}
		b.Peer(start, dispatch.HostState{Host: fmt.Sprint(i), Zone: "a", At: start, Outstanding: out, Running: map[string]int{"chat": 9}})
	}
	reqs := make([]*request.Request, size.organisations)
	for i := range reqs {
		reqs[i] = newRequest(i, "batch")
		reqs[i].Organisation = fmt.Sprintf("o%04d", i)
		for k := range 8 {
			reqs[i].Prefix = append(reqs[i].Prefix, uint64(i)<<8|uint64(k))
		}
	}
	return b, reqs
}

// BenchmarkDecision measures a choice with the start and end of the attempt, and for comparison a scan of all servers.
func BenchmarkDecision(b *testing.B) {
	for _, size := range fleetSizes {
		name := fmt.Sprintf("servers=%d/organisations=%d", size.servers, size.organisations)
		b.Run(name+"/ours", func(b *testing.B) {
			bal, reqs := newBenchBalancer(size)
			now, refused := start, 0
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				r := reqs[i%len(reqs)]
				s, _, ok := bal.Choose(now, r, nil)
				if !ok {
					refused++
					continue
				}
				bal.Started(now, r, s)
				bal.Finished(now.Add(time.Second), r, request.Result{ID: r.ID, Server: s, Outcome: request.Completed, OutputTokens: 40})
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
		b.Run(name+"/scan", func(b *testing.B) {
			bal, reqs := newBenchBalancer(size)
			for i := range b.N {
				if cheapestByScan(bal, start.Add(time.Duration(i)), reqs[i%len(reqs)]) == nil {
					b.Fatal("no server has room")
				}
			}
		})
	}
}

// cheapestByScan returns the cheapest server by the costs of all servers of the pool.
func cheapestByScan(b *Balancer, now time.Time, r *request.Request) *server {
	p := b.pools[r.Pool]
	s := search{b: b, now: now, r: r, p: p, target: targetOf(r.Model, "", ""), allowReclaimable: true}
	for _, v := range p.servers {
		if v.available(now) && v.outstanding(now) < v.concurrencyLimit(now) && s.eligible(v) {
			if c := s.costOf(v, b.prefixes.matchedBlocks(v, r.Prefix)); s.best == nil || c < s.cost {
				s.best, s.cost = v, c
			}
		}
	}
	return s.best
}

// BenchmarkFullFleet measures a choice that finds no server with room. The time advances, so that servers are rechecked.
func BenchmarkFullFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			bal, reqs := newBenchBalancer(size)
			for i := range size.servers {
				// The reports are dated ahead, so that they do not become stale during the run.
				at := start.Add(1000 * time.Hour)
				for k := range 10 {
					bal.Report(at.Add(time.Duration(k)), dispatch.Load{Server: fmt.Sprintf("s%04d", i), At: at.Add(time.Duration(k)), Running: 99, Loaded: []string{"m"}})
				}
			}
			now := start
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(100 * time.Microsecond)
				if _, _, ok := bal.Choose(now, reqs[i%len(reqs)], nil); ok {
					b.Fatal("a full server was chosen")
				}
			}
		})
	}
}

// BenchmarkMemory measures the memory that a balancer keeps when its prefix index is full.
func BenchmarkMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				bal, _ := newBenchBalancer(size)
				for block := range uint64(2 * maxBlocks) {
					bal.prefixes.store(bal.servers[fmt.Sprintf("s%04d", block%uint64(size.servers))], block)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(bal)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		})
	}
}

// BenchmarkEvents measures how long events of servers and peers take in the largest fleet, the size expected
// in two years.
func BenchmarkEvents(b *testing.B) {
	size := fleetSizes[len(fleetSizes)-1]
	b.Run("load report", func(b *testing.B) {
		bal, _ := newBenchBalancer(size)
		for i := range b.N {
			at := start.Add(time.Duration(i+1) * time.Millisecond)
			bal.Report(at, dispatch.Load{Server: fmt.Sprintf("s%04d", i%size.servers), At: at, Running: i % 20, Loaded: []string{"m"}})
		}
	})
	b.Run("report of a host with 69 servers", func(b *testing.B) {
		bal, _ := newBenchBalancer(size)
		outs := [2]map[string]int{{}, {}}
		for k := 0; k < size.servers; k += size.zones {
			outs[0][fmt.Sprintf("s%04d", k)] = 1
			outs[1][fmt.Sprintf("s%04d", k)] = 2
		}
		for i := range b.N {
			at := start.Add(time.Duration(i+1) * time.Millisecond)
			bal.Peer(at, dispatch.HostState{Host: "x", Zone: "a", At: at, Outstanding: outs[i%2]})
		}
	})
}
