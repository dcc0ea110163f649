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

// zoneServers is the number of backend servers of a zone at the fleet size planned in two years: 1100 servers in 16
// zones.
const zoneServers = 1100 / 16

// settleTime is the time for the first messages of new links, which are not measured.
const settleTime = 3 * time.Second

// workloadDispatcher is a [relay.Dispatcher] whose state is a simulated workload.
type workloadDispatcher struct{ w *relay.Workload }

func (d workloadDispatcher) State(context.Context) (dispatch.HostState, error) {
	return d.w.At(time.Now()), nil
}
func (workloadDispatcher) Peer(dispatch.HostState) {}
func (workloadDispatcher) Report(dispatch.Load)    {}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkNodes runs hosts over loopback, with TLS, on the real clock and with a simulated workload. It reports the
// bytes per second that one host sends and receives, its CPU time and memory, the calls to the platform, and the time
// from the commit of a release until it is in force on each host.
func BenchmarkNodes(b *testing.B) {
	for _, size := range [][2]int{{1, 8}, {1, 16}, {1, 23}, {4, 2}, {8, 2}, {16, 2}} {
		b.Run(fmt.Sprintf("zones=%d/hosts=%d", size[0], size[1]), func(b *testing.B) {
			baselineMemory := memoryInUse()
			c := newCluster(b)
			for z := range size[0] {
				for i := range size[1] {
					w := relay.NewWorkload(uint64(z*100+i), zoneServers)
					c.workload = w
					n := c.start(fmt.Sprintf("z%02d-%02d", z, i), fmt.Sprintf("z%02d", z))
					go pollServers(n, w)
				}
			}
			c.publish("first")
			c.eventually("linked", c.linked(size[1]-1))
			c.eventually("tied", func() bool { return c.countActing() == size[0] && c.relaysLinked(size[0]-1+size[1]-1) })
			time.Sleep(settleTime)
			for range b.N {
				c.measure(b, baselineMemory)
			}
		})
	}
}

// pollServers shares load reports of the servers that the node polls, until the node stops.
func pollServers(n *runningNode, w *relay.Workload) {
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

func (c *cluster) countActing() int {
	n := 0
	for _, r := range c.nodes {
		if r.View().Acting {
			n++
		}
	}
	return n
}

// relaysLinked reports whether each relay has at least the given number of links.
func (c *cluster) relaysLinked(links int) bool {
	for _, r := range c.nodes {
		if v := r.View(); v.Acting && len(v.Linked) < links {
			return false
		}
	}
	return true
}

func (c *cluster) measure(b *testing.B, baselineMemory float64) {
	const window = 4 * time.Second
	start := map[string]int64{}
	for name, r := range c.nodes {
		sent, received := r.Bytes()
		start[name] = sent + received
	}
	calls, cpu := c.store.Counts(), cpuTime(b)
	time.Sleep(window)
	cpu = cpuTime(b) - cpu
	after := c.store.Counts()
	hostRate, relayRate := 0.0, 0.0
	for name, r := range c.nodes {
		sent, received := r.Bytes()
		rate := float64(sent+received-start[name]) / window.Seconds()
		if r.View().Acting {
			relayRate = max(relayRate, rate)
		} else {
			hostRate = max(hostRate, rate)
		}
	}
	n := float64(len(c.nodes))
	b.ReportMetric(hostRate, "host-B/s")
	b.ReportMetric(relayRate, "relay-B/s")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/n, "%core/node")
	b.ReportMetric((memoryInUse()-baselineMemory)/n/(1<<20), "MB/node")
	b.ReportMetric(float64(after.Reads+after.Writes-calls.Reads-calls.Writes)/window.Seconds(), "platform-calls/s")
	begin := time.Now()
	c.eventually("in force", c.inForceEverywhere(c.publish("second")))
	b.ReportMetric(time.Since(begin).Seconds(), "in-force-s")
}
