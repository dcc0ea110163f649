package relay_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/traffic/dispatch"
)

// zoneServers are the backend servers of a zone at the two-year size.
const zoneServers = 1100 / 16

// settleTime lets the messages of new links pass before traffic is measured.
const settleTime = 3 * time.Second

// decisions are a workload in place of the decisions of a host.
type decisions struct{ w *relay.Workload }

func (d decisions) State(context.Context) (dispatch.HostState, error) { return d.w.At(time.Now()), nil }
func (decisions) Peer(dispatch.HostState)                             {}
func (decisions) Report(dispatch.Load)                                {}

// processorTime is what the process has spent.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkNodes runs hosts over loopback, with TLS, on the real clock, and reports what one costs: bytes a second
// on its links, both ways together, processor time and memory, all with the made-up work, and the time from a
// commit until the release is in force on each host.
func BenchmarkNodes(b *testing.B) {
	for _, size := range [][2]int{{1, 8}, {1, 16}, {1, 23}, {4, 2}, {8, 2}, {16, 2}} {
		b.Run(fmt.Sprintf("zones=%d/hosts=%d", size[0], size[1]), func(b *testing.B) {
			before := memory()
			c := newCluster(b)
			for z := range size[0] {
				for i := range size[1] {
					w := relay.NewWorkload(uint64(z*100+i), zoneServers)
					c.work = w
					n := c.start(fmt.Sprintf("z%02d-%02d", z, i), fmt.Sprintf("z%02d", z))
					go poll(n, w)
				}
			}
			c.publish("first")
			c.eventually("linked", c.linked(size[1]-1))
			c.eventually("tied", func() bool { return c.acting() == size[0] && c.tied(size[0]-1+size[1]-1) })
			time.Sleep(settleTime)
			for range b.N {
				c.measure(b, before)
			}
		})
	}
}

// poll polls the servers of the node's zone until it ends.
func poll(n *running, w *relay.Workload) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			n.ShareLoads(w.Loads(now, n.Polls))
		case <-n.ctx.Done():
			return
		}
	}
}

func (c *cluster) acting() int {
	n := 0
	for _, r := range c.nodes {
		if r.View().Acting {
			n++
		}
	}
	return n
}

// tied reports whether each relay has the number of links.
func (c *cluster) tied(links int) bool {
	for _, r := range c.nodes {
		if v := r.View(); v.Acting && len(v.Linked) < links {
			return false
		}
	}
	return true
}

func (c *cluster) measure(b *testing.B, before float64) {
	const window = 4 * time.Second
	start := map[string]int64{}
	for name, r := range c.nodes {
		s, v := r.Bytes()
		start[name] = s + v
	}
	calls, cpu := c.store.Counts(), processorTime(b)
	time.Sleep(window)
	cpu = processorTime(b) - cpu
	after := c.store.Counts()
	host, lead := 0.0, 0.0
	for name, r := range c.nodes {
		s, v := r.Bytes()
		rate := float64(s+v-start[name]) / window.Seconds()
		if r.View().Acting {
			lead = max(lead, rate)
		} else {
			host = max(host, rate)
		}
	}
	n := float64(len(c.nodes))
	b.ReportMetric(host, "host-B/s")
	b.ReportMetric(lead, "relay-B/s")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/n, "%core/node")
	b.ReportMetric((memory()-before)/n/(1<<20), "MB/node")
	b.ReportMetric(float64(after.Reads+after.Writes-calls.Reads-calls.Writes)/window.Seconds(), "platform-calls/s")
	begin := time.Now()
	c.eventually("in force", c.everywhere(c.publish("second")))
	b.ReportMetric(time.Since(begin).Seconds(), "in-force-s")
}
